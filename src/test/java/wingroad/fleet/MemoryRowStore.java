package wingroad.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** RowStore of a process that may be killed: what was not flushed is lost. */
final class MemoryRowStore implements RowStore {
    private Map<Table, TreeMap<Long, byte[]>> durable = empty();
    private Map<Table, TreeMap<Long, byte[]>> now = empty();
    private final List<Runnable> pending = new ArrayList<>();
    boolean full;
    int aside;

    private static Map<Table, TreeMap<Long, byte[]>> empty() {
        Map<Table, TreeMap<Long, byte[]>> all = new EnumMap<>(Table.class);
        for (Table t : Table.values()) {
            all.put(t, new TreeMap<>());
        }
        return all;
    }

    private static Map<Table, TreeMap<Long, byte[]>> copy(Map<Table, TreeMap<Long, byte[]>> of) {
        Map<Table, TreeMap<Long, byte[]>> all = new EnumMap<>(Table.class);
        of.forEach((t, rows) -> all.put(t, new TreeMap<>(rows)));
        return all;
    }

    /** The state as the next process finds it. */
    MemoryRowStore afterKill() {
        MemoryRowStore next = new MemoryRowStore();
        next.durable = copy(durable);
        next.now = copy(durable);
        return next;
    }

    @Override
    public void put(Table table, long key, byte[] row) throws IOException {
        writable();
        now.get(table).put(key, row);
        pending.add(() -> durable.get(table).put(key, row));
    }

    @Override
    public void deleteRange(Table table, long from, long to) throws IOException {
        writable();
        now.get(table).subMap(from, true, to, true).clear();
        pending.add(() -> durable.get(table).subMap(from, true, to, true).clear());
    }

    private void writable() throws IOException {
        if (full) {
            throw new IOException("no space left");
        }
    }

    @Override
    public SortedMap<Long, byte[]> readAll(Table table) {
        return new TreeMap<>(now.get(table));
    }

    @Override
    public void flush() throws IOException {
        writable();
        pending.forEach(Runnable::run);
        pending.clear();
    }

    @Override
    public String setAside() {
        aside++;
        durable = empty();
        now = empty();
        pending.clear();
        return "aside-" + aside;
    }

    @Override
    public void close() {
        // nothing is open
    }
}
