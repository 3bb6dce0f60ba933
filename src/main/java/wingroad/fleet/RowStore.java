package wingroad.fleet;

import java.io.IOException;
import java.util.SortedMap;

/**
 * Durable rows in a few tables, keyed by number. Writes become durable with {@link #flush}, all
 * writes before one flush atomically.
 */
interface RowStore {
    /** The tables; their names are the names in the database. */
    enum Table {
        META,
        LOG,
        CHUNKS
    }

    /** Inserts or replaces a row. */
    void put(Table table, long key, byte[] row) throws IOException;

    /** Deletes the rows from one key to another, both included. */
    void deleteRange(Table table, long from, long to) throws IOException;

    /** Reads all rows of a table, by key. */
    SortedMap<Long, byte[]> readAll(Table table) throws IOException;

    /** Makes all writes since the last flush durable. */
    void flush() throws IOException;

    /**
     * Moves the stored data aside and starts empty.
     *
     * @return the file name under which the data is kept
     */
    String setAside() throws IOException;

    void close();
}
