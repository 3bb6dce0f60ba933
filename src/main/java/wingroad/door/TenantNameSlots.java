package wingroad.door;

import java.util.Arrays;

/**
 * Which of the names that come from one address are told apart: the first few. A name keeps its
 * slot for a while after its last use. Guards against a heavy one that washes itself clean by a
 * change of name: whoever has no slot is counted under the address. Addresses that share a row
 * share its slots, which costs them no more than that.
 */
final class TenantNameSlots {
    static final int MAX_SLOTS_PER_ADDRESS = 16;
    private static final int ROWS = 512;
    private static final int NEVER_USED = Integer.MIN_VALUE;

    /** A slot is free again so long after its last use, in ticks of 100 ms. */
    private static final int SLOT_EXPIRY_TICKS = 100;

    private static final long TICK_NANOS = 100_000_000;

    private final int[] nameHashes = new int[ROWS * MAX_SLOTS_PER_ADDRESS];
    private final int[] lastUsedTicks = new int[ROWS * MAX_SLOTS_PER_ADDRESS];
    private int slotsPerAddress;

    TenantNameSlots(int slotsPerAddress) {
        this.slotsPerAddress = slotsPerAddress;
        Arrays.fill(lastUsedTicks, NEVER_USED);
    }

    /** From now on so many names an address; those beyond keep their slots while they are used. */
    void setSlotsPerAddress(int newSlotsPerAddress) {
        slotsPerAddress = newSlotsPerAddress;
    }

    /** Whether the name has a slot of its own at the address. */
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

    int memoryBytes() {
        return 8 * nameHashes.length;
    }
}
