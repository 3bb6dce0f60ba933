package wingroad.door;

import java.util.Arrays;

/**
 * Rows by their tags, the smallest first: a heap of four children, indexed, so that one in the
 * middle can be moved.
 */
final class TagHeap {
    private static final int ARITY = 4;

    private final double[] startTags;

    /** Where each row stands in its heap, or -1; shared by all heaps, a row is in one at most. */
    private final int[] positions;

    private int[] rows = new int[16];
    private int size;

    TagHeap(double[] startTags, int[] positions) {
        this.startTags = startTags;
        this.positions = positions;
    }

    int size() {
        return size;
    }

    /** The row with the smallest tag; of equal ones the one that comes first by its number. */
    int first() {
        return rows[0];
    }

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

    /** The row's tag is another one now. */
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

    int memoryBytes() {
        return 4 * rows.length;
    }
}
