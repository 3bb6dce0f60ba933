package wingroad.fleet;

import java.io.IOException;
import java.util.SortedMap;

/**
 * Numbered rows in a few tables, durable once flushed, all that was put before one flush together.
 */
interface RowStore {
    /** The tables. */
    enum Table {
        META,
        LOG,
        CHUNKS
    }

    void put(Table table, long key, byte[] row) throws IOException;

    /** Takes out the rows from one key to another, both among them. */
    void deleteRange(Table table, long from, long to) throws IOException;

    SortedMap<Long, byte[]> readAll(Table table) throws IOException;

    void flush() throws IOException;

    /**
     * Puts all that there is out of the way, under a name that it returns, and begins with nothing.
     */
    String setAside() throws IOException;

    void close();
}
