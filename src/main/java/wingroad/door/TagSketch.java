package wingroad.door;

/**
 * The finish tags of accounts that had to give way: a count-min of maxima. What it answers is never
 * below the tag that was put in for a key; it is above only for a key that shares its cell with a
 * larger tag in both rows. It needs no ageing: a tag behind the virtual time says nothing.
 */
final class TagSketch {
    private static final int CELLS = 256;

    private final double[] cells = new double[2 * CELLS];

    void put(long key, double tag) {
        int a = first(key);
        int b = second(key);
        cells[a] = Math.max(cells[a], tag);
        cells[b] = Math.max(cells[b], tag);
    }

    /** At least the largest tag that was put in for the key; 0 where none was. */
    double tag(long key) {
        return Math.min(cells[first(key)], cells[second(key)]);
    }

    private static int first(long key) {
        return (int) key & CELLS - 1;
    }

    private static int second(long key) {
        return CELLS + ((int) (key >>> 32) & CELLS - 1);
    }

    int bytes() {
        return 8 * cells.length;
    }
}
