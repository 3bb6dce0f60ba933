package wingroad.door;

import java.util.Arrays;

/**
 * Flows ordered by start tag, the smallest first: a 4-ary heap of rows of the {@link FlowTable},
 * indexed so that any row can be moved or removed.
 */
final class TagHeap {
    private static final int ARITY = 4;
    private static final int INITIAL_CAPACITY = 16;

    private final double[] startTags;

    /**
     * By row: its position in its heap, or -1. Shared by all heaps, since a row is in at most one.
     */
    private final int[] positions;

    private int[] rows = new int[INITIAL_CAPACITY];
    private int size;

    TagHeap(double[] startTags, int[] positions) {
        this.startTags = startTags;
        this.positions = positions;
    }

    int size() {
        return size;
    }

    /** The row with the smallest tag; of rows with equal tags the one with the smallest number. */
    int first() {
        return rows[0];
    }

    /** The row at a position of the heap, in no particular order. */
    int rowAt(int position) {
        return rows[position];
    }

    void add(int row) {
        if (size == rows.length) {
            rows = Arrays.copyOf(rows, 2 * size);
        }
        rows[size] = row;
        positions[row] = size;
        siftUp(size++);
    }

    void remove(int row) {
        int position = positions[row];
        positions[row] = -1;
        int lastRow = rows[--size];
        if (lastRow != row) {
            rows[position] = lastRow;
            positions[lastRow] = position;
            siftUp(position);
            siftDown(positions[lastRow]);
        }
    }

    /** Restores the order after the row's tag has changed. */
    void onTagChanged(int row) {
        siftUp(positions[row]);
        siftDown(positions[row]);
    }

    private boolean precedes(int row, int otherRow) {
        return startTags[row] < startTags[otherRow]
                || startTags[row] == startTags[otherRow] && row < otherRow;
    }

    private void siftUp(int position) {
        int row = rows[position];
        while (position > 0) {
            int parent = (position - 1) / ARITY;
            if (!precedes(row, rows[parent])) {
                break;
            }
            rows[position] = rows[parent];
            positions[rows[position]] = position;
            position = parent;
        }
        rows[position] = row;
        positions[row] = position;
    }

    private void siftDown(int position) {
        int row = rows[position];
        while (true) {
            int smallestChild = ARITY * position + 1;
            if (smallestChild >= size) {
                break;
            }
            for (int child = smallestChild + 1;
                    child < Math.min(size, ARITY * position + 1 + ARITY);
                    child++) {
                smallestChild = precedes(rows[child], rows[smallestChild]) ? child : smallestChild;
            }
            if (!precedes(rows[smallestChild], row)) {
                break;
            }
            rows[position] = rows[smallestChild];
            positions[rows[position]] = position;
            position = smallestChild;
        }
        rows[position] = row;
        positions[row] = position;
    }

    /** Memory used by the heap, without the shared arrays. */
    int memoryBytes() {
        return 4 * rows.length;
    }
}
