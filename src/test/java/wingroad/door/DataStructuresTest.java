package wingroad.door;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Compares the data structures of admission control with simple equivalents. */
class DataStructuresTest {
    private static final class RecordingEvictionHandler implements FlowTable.EvictionHandler {
        double virtualTime;
        final Map<Long, Double> evictedTags = new HashMap<>();

        @Override
        public double virtualTime(int queueIndex) {
            return virtualTime;
        }

        @Override
        public void onEvicted(int queueIndex, long key, double startTag) {
            evictedTags.put(key, startTag);
        }
    }

    @Test
    void flowTableFindsTheSameRowsAsAMap() {
        FlowTable flows = new FlowTable();
        RecordingEvictionHandler evictionHandler = new RecordingEvictionHandler();
        Random random = new Random(3);
        Map<Long, Double> expectedTags = new HashMap<>();
        for (int i = 0; i < 50_000; i++) {
            // Few different low bits, so that the probe sequences of the index are long.
            long key = (long) random.nextInt(3000) << 20 | random.nextInt(4);
            int row = flows.find(key);
            if (row < 0) {
                row = flows.insert(key, 0, evictionHandler);
                assertThat(expectedTags.getOrDefault(key, 0.0))
                        .isLessThanOrEqualTo(
                                Math.max(
                                        evictionHandler.virtualTime,
                                        evictionHandler.evictedTags.getOrDefault(key, 0.0)));
            } else {
                assertThat(flows.startTags[row]).isEqualTo(expectedTags.get(key));
            }
            flows.startTags[row] = evictionHandler.virtualTime + random.nextInt(1000);
            expectedTags.put(key, flows.startTags[row]);
            evictionHandler.virtualTime += 0.1;
        }
        assertThat(flows.evictedCount()).isPositive();
    }

    @Test
    void flowsWithTxnsOrReservationsAreNeverEvicted() {
        FlowTable flows = new FlowTable();
        RecordingEvictionHandler evictionHandler = new RecordingEvictionHandler();
        for (long key = 1; key <= FlowTable.CAPACITY; key++) {
            int row = flows.insert(key, 0, evictionHandler);
            flows.queuedCounts[row] = key % 3 == 0 ? 1 : 0;
            flows.admittedCounts[row] = key % 3 == 1 ? 1 : 0;
            flows.reservationCounts[row] = key % 3 == 2 && key > 2 ? 1 : 0;
        }
        assertThat(flows.insert(5001, 0, evictionHandler)).isNotNegative();
        assertThat(flows.find(2)).isNegative();
        assertThat(flows.insert(5002, 0, evictionHandler)).isNotNegative();
        assertThat(flows.find(5001)).isNegative();
        flows.admittedCounts[flows.find(5002)] = 1;
        assertThat(flows.insert(5003, 0, evictionHandler)).isNegative();
    }

    @Test
    void sketchNeverReturnsLessThanTheTagAndSeldomMore() {
        TagSketch sketch = new TagSketch();
        Random random = new Random(7);
        Map<Long, Double> recordedTags = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            long key = random.nextLong();
            recordedTags.put(key, 1 + random.nextDouble());
            sketch.put(key, recordedTags.get(key));
        }
        recordedTags.forEach(
                (key, recordedTag) ->
                        assertThat(sketch.tag(key)).isGreaterThanOrEqualTo(recordedTag));
        long keysWithFalseTag = random.longs(10_000).filter(key -> sketch.tag(key) > 0).count();
        assertThat(keysWithFalseTag).isLessThan(1000);
    }

    @Test
    void heapKeepsTheSmallestTagFirst() {
        double[] tags = new double[500];
        int[] positions = new int[500];
        TagHeap heap = new TagHeap(tags, positions);
        Random random = new Random(1);
        List<Integer> rowsInHeap = new ArrayList<>();
        for (int i = 0; i < 20_000; i++) {
            int row = random.nextInt(500);
            if (!rowsInHeap.contains(row)) {
                tags[row] = random.nextInt(100);
                heap.add(row);
                rowsInHeap.add(row);
            } else if (random.nextBoolean()) {
                tags[row] = random.nextInt(100);
                heap.onTagChanged(row);
            } else {
                heap.remove(row);
                rowsInHeap.remove((Integer) row);
            }
            if (!rowsInHeap.isEmpty()) {
                assertThat(tags[heap.first()])
                        .isEqualTo(
                                rowsInHeap.stream().mapToDouble(r -> tags[r]).min().getAsDouble());
            }
        }
        assertThat(heap.size()).isEqualTo(rowsInHeap.size());
    }

    @Test
    void nameSlotsOfAnAddressAreLimitedAndExpireAfterTenSeconds() {
        TenantNameSlots nameSlots = new TenantNameSlots(2);
        long secondNanos = 1_000_000_000L;
        assertThat(nameSlots.claimSlot(0, 1L << 32, 99)).isTrue();
        assertThat(nameSlots.claimSlot(0, 2L << 32, 99)).isTrue();
        assertThat(nameSlots.claimSlot(9 * secondNanos, 3L << 32, 99)).isFalse();
        assertThat(nameSlots.claimSlot(9 * secondNanos, 1L << 32, 99)).isTrue();
        assertThat(nameSlots.claimSlot(11 * secondNanos, 3L << 32, 99)).isTrue();
        assertThat(nameSlots.claimSlot(11 * secondNanos, 2L << 32, 99)).isFalse();
        assertThat(nameSlots.claimSlot(11 * secondNanos, 2L << 32, 77L << 48)).isTrue();
    }
}
