package wingroad.door;

import java.util.Arrays;

/**
 * Limits how many tenant names from one address are distinguished at a time. The first names get a
 * slot each and keep it for some time after their last use; txns under any other name count as the
 * address. Guards against a tenant that evades its share by changing its name. Addresses whose
 * hashes select the same row share its slots, with no other effect than fewer slots for each.
 */
final class TenantNameSlots {
    static final int MAX_SLOTS_PER_ADDRESS = 16;
    private static final int ROWS = 512;
    private static final int NEVER_USED = Integer.MIN_VALUE;

    /** A slot is free again this time after its last use, in ticks of {@link #TICK_NANOS}. */
    private static final int SLOT_EXPIRY_TICKS = 100;

    private static final long TICK_NANOS = 100_000_000;

    /** Upper 32 bits of the hashes of the names that hold the slots. */
    private final int[] nameHashes = new int[ROWS * MAX_SLOTS_PER_ADDRESS];

    private final int[] lastUsedTicks = new int[ROWS * MAX_SLOTS_PER_ADDRESS];
    private int slotsPerAddress;

    TenantNameSlots(int slotsPerAddress) {
        this.slotsPerAddress = slotsPerAddress;
        Arrays.fill(lastUsedTicks, NEVER_USED);
    }

    /**
     * Sets the number of names for each address. Names in slots beyond it keep them while they are
     * in use.
     */
    void setSlotsPerAddress(int newSlotsPerAddress) {
        slotsPerAddress = newSlotsPerAddress;
    }

    /** Whether the name has, or now gets, a slot of the address. */
    boolean claimSlot(long nowNanos, long nameHash, long addressHash) {
        int tick = (int) (nowNanos / TICK_NANOS);
        int shortNameHash = (int) (nameHash >>> 32);
        int firstSlot = (int) (addressHash >>> 48 & ROWS - 1) * MAX_SLOTS_PER_ADDRESS;
        int freeSlot = -1;
        for (int slot = firstSlot; slot < firstSlot + MAX_SLOTS_PER_ADDRESS; slot++) {
            boolean inUse =
                    lastUsedTicks[slot] != NEVER_USED
                            && tick - lastUsedTicks[slot] < SLOT_EXPIRY_TICKS;
            if (inUse && nameHashes[slot] == shortNameHash) {
                lastUsedTicks[slot] = tick;
                return true;
            }
            freeSlot =
                    !inUse && freeSlot < 0 && slot < firstSlot + slotsPerAddress ? slot : freeSlot;
        }
        if (freeSlot < 0) {
            return false;
        }
        nameHashes[freeSlot] = shortNameHash;
        lastUsedTicks[freeSlot] = tick;
        return true;
    }

    /** Memory used by the arrays. */
    int memoryBytes() {
        return 8 * nameHashes.length;
    }
}
