package wingroad.door;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The structures that the door's state is made of, each against a plain one. */
class PartsTest {
    private static final class Still implements FlowTable.EvictionHandler {
        double virtualTime;
        final Map<Long, Double> owed = new HashMap<>();

        @Override
        public double virtualTime(int lane) {
            return virtualTime;
        }

        @Override
        public void onEvicted(int lane, long key, double tag) {
            owed.put(key, tag);
        }
    }

    @Test
    void accountsAreFoundAsInAMapWhateverComesAndGoes() {
        FlowTable accounts = new FlowTable();
        Still lanes = new Still();
        Random random = new Random(3);
        Map<Long, Double> tags = new HashMap<>();
        for (int i = 0; i < 50_000; i++) {
            // Few different low bits: chains in the index grow long.
            long key = (long) random.nextInt(3000) << 20 | random.nextInt(4);
            int row = accounts.find(key);
            if (row < 0) {
                row = accounts.insert(key, 0, lanes);
                assertThat(tags.getOrDefault(key, 0.0))
                        .isLessThanOrEqualTo(
                                Math.max(lanes.virtualTime, lanes.owed.getOrDefault(key, 0.0)));
            } else {
                assertThat(accounts.startTags[row]).isEqualTo(tags.get(key));
            }
            accounts.startTags[row] = lanes.virtualTime + random.nextInt(1000);
            tags.put(key, accounts.startTags[row]);
            lanes.virtualTime += 0.1;
        }
        assertThat(accounts.evictedCount()).isPositive();
    }

    @Test
    void whoHasSomethingWaitingInOrBookedNeverGivesWay() {
        FlowTable accounts = new FlowTable();
        Still lanes = new Still();
        for (long key = 1; key <= FlowTable.CAPACITY; key++) {
            int row = accounts.insert(key, 0, lanes);
            accounts.queuedCounts[row] = key % 3 == 0 ? 1 : 0;
            accounts.admittedCounts[row] = key % 3 == 1 ? 1 : 0;
            accounts.reservationCounts[row] = key % 3 == 2 && key > 2 ? 1 : 0;
        }
        assertThat(accounts.insert(5001, 0, lanes)).isNotNegative();
        assertThat(accounts.find(2)).isNegative();
        assertThat(accounts.insert(5002, 0, lanes)).isNotNegative();
        assertThat(accounts.find(5001)).isNegative();
        accounts.admittedCounts[accounts.find(5002)] = 1;
        assertThat(accounts.insert(5003, 0, lanes)).isNegative();
    }

    @Test
    void theSketchForgivesNoDebtAndOverchargesFew() {
        TagSketch sketch = new TagSketch();
        Random random = new Random(7);
        Map<Long, Double> debts = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            long key = random.nextLong();
            debts.put(key, 1 + random.nextDouble());
            sketch.put(key, debts.get(key));
        }
        debts.forEach((key, debt) -> assertThat(sketch.tag(key)).isGreaterThanOrEqualTo(debt));
        long overcharged = random.longs(10_000).filter(key -> sketch.tag(key) > 0).count();
        assertThat(overcharged).isLessThan(1000);
    }

    @Test
    void theHeapHasTheSmallestTagFirstThroughAllMoves() {
        double[] tags = new double[500];
        int[] places = new int[500];
        TagHeap heap = new TagHeap(tags, places);
        Random random = new Random(1);
        List<Integer> in = new ArrayList<>();
        for (int i = 0; i < 20_000; i++) {
            int row = random.nextInt(500);
            if (!in.contains(row)) {
                tags[row] = random.nextInt(100);
                heap.add(row);
                in.add(row);
            } else if (random.nextBoolean()) {
                tags[row] = random.nextInt(100);
                heap.onTagChanged(row);
            } else {
                heap.remove(row);
                in.remove((Integer) row);
            }
            if (!in.isEmpty()) {
                assertThat(tags[heap.first()])
                        .isEqualTo(in.stream().mapToDouble(r -> tags[r]).min().getAsDouble());
            }
        }
        assertThat(heap.size()).isEqualTo(in.size());
    }

    @Test
    void anAddressTellsItsFirstNamesApartAndAFreeSlotAgainAfterTenSeconds() {
        TenantNameSlots names = new TenantNameSlots(2);
        long second = 1_000_000_000L;
        assertThat(names.claimSlot(0, 1L << 32, 99)).isTrue();
        assertThat(names.claimSlot(0, 2L << 32, 99)).isTrue();
        assertThat(names.claimSlot(9 * second, 3L << 32, 99)).isFalse();
        assertThat(names.claimSlot(9 * second, 1L << 32, 99)).isTrue();
        assertThat(names.claimSlot(11 * second, 3L << 32, 99)).isTrue();
        assertThat(names.claimSlot(11 * second, 2L << 32, 99)).isFalse();
        assertThat(names.claimSlot(11 * second, 2L << 32, 77L << 48)).isTrue();
    }
}
