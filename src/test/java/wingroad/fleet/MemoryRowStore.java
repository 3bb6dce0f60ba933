package wingroad.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** In-memory row store that simulates a kill: rows that were not flushed are lost. */
final class MemoryRowStore implements RowStore {
    private Map<Table, TreeMap<Long, byte[]>> durable = emptyTables();
    private Map<Table, TreeMap<Long, byte[]>> current = emptyTables();
    private final List<Runnable> pending = new ArrayList<>();
    boolean diskFull;
    int setAsideCount;

    private static Map<Table, TreeMap<Long, byte[]>> emptyTables() {
        Map<Table, TreeMap<Long, byte[]>> tables = new EnumMap<>(Table.class);
        for (Table table : Table.values()) {
            tables.put(table, new TreeMap<>());
        }
        return tables;
    }

    private static Map<Table, TreeMap<Long, byte[]>> copy(
            Map<Table, TreeMap<Long, byte[]>> source) {
        Map<Table, TreeMap<Long, byte[]>> tables = new EnumMap<>(Table.class);
        source.forEach((table, rows) -> tables.put(table, new TreeMap<>(rows)));
        return tables;
    }

    /** Returns the store as the next process finds it. */
    MemoryRowStore afterKill() {
        MemoryRowStore next = new MemoryRowStore();
        next.durable = copy(durable);
        next.current = copy(durable);
        return next;
    }

    @Override
    public void put(Table table, long key, byte[] row) throws IOException {
        checkDiskSpace();
        current.get(table).put(key, row);
        pending.add(() -> durable.get(table).put(key, row));
    }

    @Override
    public void deleteRange(Table table, long from, long to) throws IOException {
        checkDiskSpace();
        current.get(table).subMap(from, true, to, true).clear();
        pending.add(() -> durable.get(table).subMap(from, true, to, true).clear());
    }

    private void checkDiskSpace() throws IOException {
        if (diskFull) {
            throw new IOException("no space left");
        }
    }

    @Override
    public SortedMap<Long, byte[]> readAll(Table table) {
        return new TreeMap<>(current.get(table));
    }

    @Override
    public void flush() throws IOException {
        checkDiskSpace();
        pending.forEach(Runnable::run);
        pending.clear();
    }

    @Override
    public String setAside() {
        setAsideCount++;
        durable = emptyTables();
        current = emptyTables();
        pending.clear();
        return "aside-" + setAsideCount;
    }

    @Override
    public void close() {
        // There is nothing to release.
    }
}
