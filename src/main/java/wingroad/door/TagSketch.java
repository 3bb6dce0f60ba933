package wingroad.door;

/**
 * The finish tags of accounts that had to give way: a count-min of maxima. What it answers is never
 * below the tag that was put in for a key; it is above only for a key that shares its cell with a
 * larger tag in both rows. It needs no ageing: a tag behind the virtual time says nothing.
 */
final class TagSketch {
    private static final int CELLS_PER_ROW = 256;

    private final double[] cells = new double[2 * CELLS_PER_ROW];

    void put(long key, double tag) {
        int first = firstCell(key);
        int second = secondCell(key);
        cells[first] = Math.max(cells[first], tag);
        cells[second] = Math.max(cells[second], tag);
    }

    /** At least the largest tag that was put in for the key; 0 where none was. */
    double tag(long key) {
        return Math.min(cells[firstCell(key)], cells[secondCell(key)]);
    }

    private static int firstCell(long key) {
        return (int) key & CELLS_PER_ROW - 1;
    }

    private static int secondCell(long key) {
        return CELLS_PER_ROW + ((int) (key >>> 32) & CELLS_PER_ROW - 1);
    }

    int memoryBytes() {
        return 8 * cells.length;
    }
}
