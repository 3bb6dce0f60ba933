package wingroad.door;

/**
 * The finish tags of evicted flows: a count-min sketch with maxima in place of counts. The tag that
 * it returns for a key is never below the one recorded; it is above it only if in both rows the key
 * shares its cell with a larger tag. Cells need no expiry, since a tag behind the virtual time has
 * no effect.
 */
final class TagSketch {
    private static final int CELLS_PER_ROW = 256;

    private final double[] cells = new double[2 * CELLS_PER_ROW];

    /** Records a tag for the key. */
    void put(long key, double tag) {
        int first = firstCell(key);
        int second = secondCell(key);
        cells[first] = Math.max(cells[first], tag);
        cells[second] = Math.max(cells[second], tag);
    }

    /**
     * An upper bound of the tags recorded for the key. If there are none, 0 unless both of its
     * cells are shared.
     */
    double tag(long key) {
        return Math.min(cells[firstCell(key)], cells[secondCell(key)]);
    }

    private static int firstCell(long key) {
        return (int) key & CELLS_PER_ROW - 1;
    }

    private static int secondCell(long key) {
        return CELLS_PER_ROW + ((int) (key >>> 32) & CELLS_PER_ROW - 1);
    }

    /** Memory used by the cells. */
    int memoryBytes() {
        return 8 * cells.length;
    }
}
