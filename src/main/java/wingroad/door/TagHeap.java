package wingroad.door;

import java.util.Arrays;

/**
 * Rows by their tags, the smallest first: a heap of four children, indexed, so that one in the
 * middle can be moved.
 */
final class TagHeap {
    private static final int CHILDREN = 4;

    private final double[] tags;

    /** Where each row stands in its heap, or -1; shared by all heaps, a row is in one at most. */
    private final int[] places;

    private int[] rows = new int[16];
    private int size;

    TagHeap(double[] tags, int[] places) {
        this.tags = tags;
        this.places = places;
    }

    int size() {
        return size;
    }

    /** The row with the smallest tag; of equal ones the one that comes first by its number. */
    int first() {
        return rows[0];
    }

    int at(int place) {
        return rows[place];
    }

    void add(int row) {
        if (size == rows.length) {
            rows = Arrays.copyOf(rows, 2 * size);
        }
        rows[size] = row;
        places[row] = size;
        up(size++);
    }

    void remove(int row) {
        int place = places[row];
        places[row] = -1;
        int last = rows[--size];
        if (last != row) {
            rows[place] = last;
            places[last] = place;
            up(place);
            down(places[last]);
        }
    }

    /** The row's tag is another one now. */
    void moved(int row) {
        up(places[row]);
        down(places[row]);
    }

    private boolean before(int a, int b) {
        return tags[a] < tags[b] || tags[a] == tags[b] && a < b;
    }

    private void up(int place) {
        int row = rows[place];
        while (place > 0) {
            int parent = (place - 1) / CHILDREN;
            if (!before(row, rows[parent])) {
                break;
            }
            rows[place] = rows[parent];
            places[rows[place]] = place;
            place = parent;
        }
        rows[place] = row;
        places[row] = place;
    }

    private void down(int place) {
        int row = rows[place];
        while (true) {
            int best = CHILDREN * place + 1;
            if (best >= size) {
                break;
            }
            for (int c = best + 1; c < Math.min(size, CHILDREN * place + 1 + CHILDREN); c++) {
                best = before(rows[c], rows[best]) ? c : best;
            }
            if (!before(rows[best], row)) {
                break;
            }
            rows[place] = rows[best];
            places[rows[place]] = place;
            place = best;
        }
        rows[place] = row;
        places[row] = place;
    }

    int bytes() {
        return 4 * rows.length;
    }
}
