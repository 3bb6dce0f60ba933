package wingroad.fleet;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.zip.CRC32C;
import wingroad.fleet.MessageCodec.Endpoint;
import wingroad.protocol.Json;

/**
 * A voter's state: who it is, the council that it belongs to, the engine's term, log and snapshot,
 * and what it has seen the other voters confirm. Each row has a checksum, so that one that was
 * changed is not taken for a vote.
 */
final class ConsensusStore implements RaftStore {
    private static final long SELF = 0;
    private static final long ENDPOINT = 1;
    private static final long INITIAL = 2;
    private static final long TERM = 3;
    private static final long WITNESS = 4;
    private static final long VOTERS = 5;
    private static final int SUM = 4;

    /**
     * The newest that another voter is known to have confirmed: its term, and an entry's index in a
     * term.
     */
    record Seen(int term, int entryTerm, long index) {
        Seen with(int newTerm, long newIndex) {
            if (newIndex > 0 && (newTerm > entryTerm || newTerm == entryTerm && newIndex > index)) {
                return new Seen(Math.max(term, newTerm), newTerm, newIndex);
            }
            return newTerm > term ? new Seen(newTerm, entryTerm, index) : this;
        }
    }

    private final RowStore rows;
    private final Supplier<String> names;
    private String identity;
    private String group = "";
    private String proposed = "";
    private List<String> founders = List.of();
    private long epochs;
    private final Map<String, Seen> seen = new TreeMap<>();
    private final Map<String, String> voters = new TreeMap<>();
    private RestoredRaftState restored;
    private IOException broken;
    private String wasAside;

    /**
     * Reads what is there; where that can't be read it is set aside, and told by {@link #wasAside}.
     */
    ConsensusStore(RowStore rows, Supplier<String> names) throws IOException {
        this.rows = rows;
        this.names = names;
        try {
            load();
        } catch (Json.Malformed e) {
            setAside(e.getMessage());
        }
    }

    private void load() throws IOException {
        Map<Long, byte[]> meta = rows.all(RowStore.Table.META);
        if (meta.get(SELF) == null) {
            begin();
            return;
        }
        Map<String, Object> self = map(meta.get(SELF));
        identity = Json.text(self, "identity");
        group = MessageCodec.text(self, "group");
        proposed = MessageCodec.text(self, "proposed");
        founders = MessageCodec.texts(self.get("founders"));
        epochs = MessageCodec.number(self, "epochs");
        if (meta.get(WITNESS) != null) {
            map(meta.get(WITNESS))
                    .forEach(
                            (e, v) -> {
                                List<?> l = (List<?>) v;
                                seen.put(
                                        e,
                                        new Seen(
                                                ((Number) l.get(0)).intValue(),
                                                ((Number) l.get(1)).intValue(),
                                                ((Number) l.get(2)).longValue()));
                            });
        }
        if (meta.get(VOTERS) != null) {
            map(meta.get(VOTERS)).forEach((n, a) -> voters.put(n, (String) a));
        }
        if (meta.get(ENDPOINT) != null && meta.get(INITIAL) != null) {
            restored = restore(meta);
        }
    }

    private RestoredRaftState restore(Map<Long, byte[]> meta) throws IOException {
        Map<String, Object> e = map(meta.get(ENDPOINT));
        RaftEndpointPersistentState local =
                MessageCodec.MODELS
                        .createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(Endpoint.of(Json.text(e, "e")))
                        .setVoting(Boolean.TRUE.equals(e.get("vote")))
                        .build();
        Map<String, Object> t = meta.get(TERM) == null ? Map.of() : map(meta.get(TERM));
        String voted = MessageCodec.text(t, "voted");
        RaftTermPersistentState term =
                MessageCodec.MODELS
                        .createRaftTermPersistentStateBuilder()
                        .setTerm((int) MessageCodec.number(t, "term"))
                        .setVotedFor(voted.isEmpty() ? null : Endpoint.of(voted))
                        .build();
        TreeMap<Long, List<SnapshotChunk>> snapshots = new TreeMap<>();
        for (byte[] row : rows.all(RowStore.Table.CHUNKS).values()) {
            SnapshotChunk c = MessageCodec.chunk(map(row));
            snapshots.computeIfAbsent(c.getIndex(), i -> new ArrayList<>()).add(c);
        }
        snapshots.values().removeIf(l -> l.size() != l.get(0).getSnapshotChunkCount());
        SnapshotEntry snapshot = null;
        long from = 0;
        if (!snapshots.isEmpty()) {
            List<SnapshotChunk> newest = snapshots.lastEntry().getValue();
            SnapshotChunk first = newest.get(0);
            from = first.getIndex();
            snapshot =
                    MessageCodec.MODELS
                            .createSnapshotEntryBuilder()
                            .setIndex(from)
                            .setTerm(first.getTerm())
                            .setSnapshotChunks(
                                    new ArrayList<Object>(newest)
                                            .stream().map(c -> (SnapshotChunk) c).toList())
                            .setGroupMembersView(first.getGroupMembersView())
                            .build();
        }
        List<LogEntry> entries = new ArrayList<>();
        for (byte[] row : rows.all(RowStore.Table.LOG).tailMap(from + 1).values()) {
            entries.add(MessageCodec.entry(map(row)));
        }
        return new RestoredRaftState(
                local, MessageCodec.view(map(meta.get(INITIAL))), term, snapshot, entries);
    }

    private void begin() throws IOException {
        identity = names.get();
        group = "";
        proposed = "";
        founders = List.of();
        epochs = 0;
        restored = null;
        seen.clear();
        voters.clear();
        saveSelf();
    }

    private void saveSelf() throws IOException {
        Map<String, Object> self = new LinkedHashMap<>();
        self.put("identity", identity);
        self.put("group", group);
        self.put("proposed", proposed);
        self.put("founders", founders);
        self.put("epochs", epochs);
        put(RowStore.Table.META, SELF, self);
        flush();
    }

    /** Gives all up under the old identity; what was there is kept under another name. */
    void setAside(String why) throws IOException {
        wasAside = rows.setAside() + ": " + why;
        begin();
    }

    void tellAside(String what) {
        wasAside = what;
    }

    /** What was set aside and why, or null. */
    String wasAside() {
        return wasAside;
    }

    String identity() {
        return identity;
    }

    /** The council that this voter belongs to, or empty. */
    String group() {
        return group;
    }

    /** A council that was proposed and is not known to have begun, or empty. */
    String proposed() {
        return proposed;
    }

    List<String> founders() {
        return founders;
    }

    long epochs() {
        return epochs;
    }

    void propose(String name, List<String> members, long firstEpoch) throws IOException {
        proposed = name;
        founders = List.copyOf(members);
        epochs = firstEpoch;
        saveSelf();
    }

    void found(String name, List<String> members, long firstEpoch) throws IOException {
        group = name;
        proposed = "";
        founders = List.copyOf(members);
        epochs = firstEpoch;
        saveSelf();
    }

    RestoredRaftState restored() {
        return restored;
    }

    /** What went wrong with writing, or null; nothing is confirmed after that. */
    IOException broken() {
        return broken;
    }

    Seen seen(String endpoint) {
        return seen.getOrDefault(endpoint, new Seen(0, 0, 0));
    }

    void saw(String endpoint, Seen what) {
        seen.put(endpoint, what);
    }

    /**
     * The changes of the voters, as they were known last: where to look for the others at a start.
     */
    Map<String, String> voters() {
        return voters;
    }

    /** Writes them down; durable with the next flush. */
    void saveVoters(Map<String, String> changes) {
        if (!voters.equals(changes)) {
            voters.clear();
            voters.putAll(changes);
            try {
                put(RowStore.Table.META, VOTERS, new LinkedHashMap<>(voters));
            } catch (IOException e) {
                // put has noted it
            }
        }
    }

    /** Writes down what was seen; durable with the next flush. */
    void saveSeen() {
        Map<String, Object> all = new LinkedHashMap<>();
        seen.forEach((e, s) -> all.put(e, List.of((long) s.term, (long) s.entryTerm, s.index)));
        try {
            put(RowStore.Table.META, WITNESS, all);
        } catch (IOException e) {
            // put has noted it
        }
    }

    /** Whether the restored state lies before what it is known to have confirmed. */
    boolean olderThan(Seen known) {
        if (restored == null) {
            return known.term > 0;
        }
        List<LogEntry> log = restored.getLogEntries();
        SnapshotEntry s = restored.getSnapshotEntry();
        long index =
                log.isEmpty() ? s == null ? 0 : s.getIndex() : log.get(log.size() - 1).getIndex();
        int term = log.isEmpty() ? s == null ? 0 : s.getTerm() : log.get(log.size() - 1).getTerm();
        // A shorter log is right where a later leader cut it: then its last entry is of a later
        // term.
        return restored.getTermPersistentState().getTerm() < known.term
                || index < known.index && term <= known.entryTerm;
    }

    void close() {
        rows.close();
    }

    // ---- for the engine ----

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState s) throws IOException {
        put(
                RowStore.Table.META,
                ENDPOINT,
                MessageCodec.message("e", "e", s.getLocalEndpoint().getId(), "vote", s.isVoting()));
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView v) throws IOException {
        put(RowStore.Table.META, INITIAL, MessageCodec.of(v));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState t) throws IOException {
        RaftEndpoint voted = t.getVotedFor();
        put(
                RowStore.Table.META,
                TERM,
                MessageCodec.message(
                        "t", "term", t.getTerm(), "voted", voted == null ? "" : voted.getId()));
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        for (LogEntry e : entries) {
            put(RowStore.Table.LOG, e.getIndex(), MessageCodec.of(e));
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk c) throws IOException {
        put(
                RowStore.Table.CHUNKS,
                c.getIndex() << 10 | c.getSnapshotChunkIndex(),
                MessageCodec.of(c));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        drop(RowStore.Table.LOG, index, Long.MAX_VALUE);
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        drop(RowStore.Table.LOG, 0, index);
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        drop(RowStore.Table.CHUNKS, index << 10, (index << 10) + count - 1);
    }

    @Override
    public void flush() throws IOException {
        try {
            whole();
            rows.flush();
        } catch (IOException e) {
            broken = broken == null ? e : broken;
            throw e;
        }
    }

    private void whole() throws IOException {
        if (broken != null) {
            throw new IOException("nothing is written after: " + broken.getMessage(), broken);
        }
    }

    private void drop(RowStore.Table table, long from, long to) throws IOException {
        try {
            whole();
            rows.drop(table, from, to);
        } catch (IOException e) {
            broken = broken == null ? e : broken;
            throw e;
        }
    }

    private void put(RowStore.Table table, long key, Map<String, Object> value) throws IOException {
        byte[] body = Cbor.write(value);
        try {
            whole();
            rows.put(
                    table,
                    key,
                    ByteBuffer.allocate(SUM + body.length).putInt(sum(body, 0)).put(body).array());
        } catch (IOException e) {
            broken = broken == null ? e : broken;
            throw e;
        }
    }

    private static Map<String, Object> map(byte[] row) {
        if (row.length < SUM || ByteBuffer.wrap(row).getInt() != sum(row, SUM)) {
            throw new Json.Malformed("a row's checksum is wrong");
        }
        return Cbor.map(java.util.Arrays.copyOfRange(row, SUM, row.length));
    }

    private static int sum(byte[] of, int from) {
        CRC32C sum = new CRC32C();
        sum.update(of, from, of.length - from);
        return (int) sum.getValue();
    }
}
