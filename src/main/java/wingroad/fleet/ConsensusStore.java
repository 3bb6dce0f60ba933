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

import wingroad.fleet.MessageCodec.Endpoint;
import wingroad.protocol.Json;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.zip.CRC32C;

/**
 * A voter's durable state: its identity, its consensus group, the engine's term, log and snapshot,
 * and the newest positions that it has seen the other voters confirm. Each row has a checksum, so
 * that a corrupted row is not taken for a vote.
 */
final class ConsensusStore implements RaftStore {
    private static final long IDENTITY_ROW = 0;
    private static final long ENDPOINT_ROW = 1;
    private static final long INITIAL_MEMBERS_ROW = 2;
    private static final long TERM_ROW = 3;
    private static final long CONFIRMED_POSITIONS_ROW = 4;
    private static final long VOTER_CHANGES_ROW = 5;

    /** Length of the CRC-32C in front of each row. */
    private static final int CHECKSUM_BYTES = 4;

    /** A chunk's row number is its snapshot's index, shifted by this, and the chunk's number. */
    private static final int CHUNK_INDEX_BITS = 10;

    /**
     * The newest position that a voter is known to have confirmed.
     *
     * @param term its newest term
     * @param entryTerm the term in which it confirmed its newest log entry
     * @param index the index of that entry
     */
    record ConfirmedPosition(int term, int entryTerm, long index) {
        /**
         * Returns the later of this position and the given one; an index of 0 stands for no entry.
         */
        ConfirmedPosition advancedTo(int newTerm, long newIndex) {
            if (newIndex > 0 && (newTerm > entryTerm || newTerm == entryTerm && newIndex > index)) {
                return new ConfirmedPosition(Math.max(term, newTerm), newTerm, newIndex);
            }
            return newTerm > term ? new ConfirmedPosition(newTerm, entryTerm, index) : this;
        }
    }

    private final RowStore rowStore;
    private final Supplier<String> idGenerator;
    private String identity;
    private String groupId = "";
    private String proposedGroupId = "";
    private List<String> founders = List.of();
    private long initialEpoch;
    private final Map<String, ConfirmedPosition> confirmedPositions = new TreeMap<>();
    private final Map<String, String> voterChanges = new TreeMap<>();
    private RestoredRaftState restored;
    private IOException writeFailure;
    private String setAsideNotice;

    /**
     * Reads the stored state. Malformed state is set aside, and {@link #setAsideNotice} then says
     * so.
     *
     * @param idGenerator supplies the identity of a new voter
     */
    ConsensusStore(RowStore rowStore, Supplier<String> idGenerator) throws IOException {
        this.rowStore = rowStore;
        this.idGenerator = idGenerator;
        try {
            load();
        } catch (Json.MalformedJsonException e) {
            setAside(e.getMessage());
        }
    }

    private void load() throws IOException {
        Map<Long, byte[]> meta = rowStore.readAll(RowStore.Table.META);
        if (meta.get(IDENTITY_ROW) == null) {
            initialize();
            return;
        }
        Map<String, Object> identityRow = decodeRow(meta.get(IDENTITY_ROW));
        identity = Json.string(identityRow, "identity");
        groupId = MessageCodec.stringOrEmpty(identityRow, "group");
        proposedGroupId = MessageCodec.stringOrEmpty(identityRow, "proposed");
        founders = MessageCodec.stringList(identityRow.get("founders"));
        initialEpoch = MessageCodec.longOrZero(identityRow, "epochs");
        if (meta.get(CONFIRMED_POSITIONS_ROW) != null) {
            decodeRow(meta.get(CONFIRMED_POSITIONS_ROW))
                    .forEach(
                            (endpointId, value) -> {
                                List<?> position = (List<?>) value;
                                confirmedPositions.put(
                                        endpointId,
                                        new ConfirmedPosition(
                                                ((Number) position.get(0)).intValue(),
                                                ((Number) position.get(1)).intValue(),
                                                ((Number) position.get(2)).longValue()));
                            });
        }
        if (meta.get(VOTER_CHANGES_ROW) != null) {
            decodeRow(meta.get(VOTER_CHANGES_ROW))
                    .forEach((name, address) -> voterChanges.put(name, (String) address));
        }
        if (meta.get(ENDPOINT_ROW) != null && meta.get(INITIAL_MEMBERS_ROW) != null) {
            restored = restore(meta);
        }
    }

    private RestoredRaftState restore(Map<Long, byte[]> meta) throws IOException {
        Map<String, Object> endpointRow = decodeRow(meta.get(ENDPOINT_ROW));
        RaftEndpointPersistentState localEndpoint =
                MessageCodec.MODEL_FACTORY
                        .createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(Endpoint.of(Json.string(endpointRow, "e")))
                        .setVoting(Boolean.TRUE.equals(endpointRow.get("vote")))
                        .build();
        Map<String, Object> termRow =
                meta.get(TERM_ROW) == null ? Map.of() : decodeRow(meta.get(TERM_ROW));
        String votedFor = MessageCodec.stringOrEmpty(termRow, "voted");
        RaftTermPersistentState term =
                MessageCodec.MODEL_FACTORY
                        .createRaftTermPersistentStateBuilder()
                        .setTerm((int) MessageCodec.longOrZero(termRow, "term"))
                        .setVotedFor(votedFor.isEmpty() ? null : Endpoint.of(votedFor))
                        .build();
        TreeMap<Long, List<SnapshotChunk>> chunksByIndex = new TreeMap<>();
        for (byte[] row : rowStore.readAll(RowStore.Table.CHUNKS).values()) {
            SnapshotChunk chunk = MessageCodec.decodeSnapshotChunk(decodeRow(row));
            chunksByIndex.computeIfAbsent(chunk.getIndex(), index -> new ArrayList<>()).add(chunk);
        }
        chunksByIndex
                .values()
                .removeIf(chunks -> chunks.size() != chunks.get(0).getSnapshotChunkCount());
        SnapshotEntry snapshot = null;
        long snapshotIndex = 0;
        if (!chunksByIndex.isEmpty()) {
            List<SnapshotChunk> newest = chunksByIndex.lastEntry().getValue();
            SnapshotChunk first = newest.get(0);
            snapshotIndex = first.getIndex();
            snapshot =
                    MessageCodec.MODEL_FACTORY
                            .createSnapshotEntryBuilder()
                            .setIndex(snapshotIndex)
                            .setTerm(first.getTerm())
                            .setSnapshotChunks(
                                    new ArrayList<Object>(newest)
                                            .stream().map(chunk -> (SnapshotChunk) chunk).toList())
                            .setGroupMembersView(first.getGroupMembersView())
                            .build();
        }
        List<LogEntry> entries = new ArrayList<>();
        for (byte[] row :
                rowStore.readAll(RowStore.Table.LOG).tailMap(snapshotIndex + 1).values()) {
            entries.add(MessageCodec.decodeLogEntry(decodeRow(row)));
        }
        return new RestoredRaftState(
                localEndpoint,
                MessageCodec.decodeMembersView(decodeRow(meta.get(INITIAL_MEMBERS_ROW))),
                term,
                snapshot,
                entries);
    }

    private void initialize() throws IOException {
        identity = idGenerator.get();
        groupId = "";
        proposedGroupId = "";
        founders = List.of();
        initialEpoch = 0;
        restored = null;
        confirmedPositions.clear();
        voterChanges.clear();
        saveIdentity();
    }

    private void saveIdentity() throws IOException {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("identity", identity);
        row.put("group", groupId);
        row.put("proposed", proposedGroupId);
        row.put("founders", founders);
        row.put("epochs", initialEpoch);
        put(RowStore.Table.META, IDENTITY_ROW, row);
        flush();
    }

    /**
     * Sets the stored state aside under another file name and starts empty, with a new identity.
     */
    void setAside(String reason) throws IOException {
        setAsideNotice = rowStore.setAside() + ": " + reason;
        initialize();
    }

    /** Records that a database was set aside before this store was opened. */
    void recordSetAside(String notice) {
        setAsideNotice = notice;
    }

    /** What was set aside and why, or null. */
    String setAsideNotice() {
        return setAsideNotice;
    }

    String identity() {
        return identity;
    }

    /** Id of the consensus group that this voter belongs to, or empty. */
    String groupId() {
        return groupId;
    }

    /** Id of a proposed group that is not known to have been founded, or empty. */
    String proposedGroupId() {
        return proposedGroupId;
    }

    /** Endpoint ids of the group's founding members. */
    List<String> founders() {
        return founders;
    }

    /** The epoch from which the group's state machine starts. */
    long initialEpoch() {
        return initialEpoch;
    }

    /** Saves a proposed group that is not yet founded. */
    void saveProposal(String newGroupId, List<String> newFounders, long firstEpoch)
            throws IOException {
        proposedGroupId = newGroupId;
        founders = List.copyOf(newFounders);
        initialEpoch = firstEpoch;
        saveIdentity();
    }

    /** Saves the group that this voter belongs to from now on. */
    void saveGroup(String newGroupId, List<String> newFounders, long firstEpoch)
            throws IOException {
        groupId = newGroupId;
        proposedGroupId = "";
        founders = List.copyOf(newFounders);
        initialEpoch = firstEpoch;
        saveIdentity();
    }

    /** The engine's stored state as read at startup, or null. */
    RestoredRaftState restored() {
        return restored;
    }

    /** The first write error, or null; nothing is written or confirmed after it. */
    IOException writeFailure() {
        return writeFailure;
    }

    /** The newest position that the endpoint is known to have confirmed; zeros if none. */
    ConfirmedPosition confirmedPosition(String endpointId) {
        return confirmedPositions.getOrDefault(endpointId, new ConfirmedPosition(0, 0, 0));
    }

    void recordConfirmed(String endpointId, ConfirmedPosition position) {
        confirmedPositions.put(endpointId, position);
    }

    /** The voter changes known last: addresses to find the other voters at on startup. */
    Map<String, String> voterChanges() {
        return voterChanges;
    }

    /** Saves the voter changes; durable with the next flush. */
    void saveVoterChanges(Map<String, String> changes) {
        if (!voterChanges.equals(changes)) {
            voterChanges.clear();
            voterChanges.putAll(changes);
            try {
                put(RowStore.Table.META, VOTER_CHANGES_ROW, new LinkedHashMap<>(voterChanges));
            } catch (IOException e) {
                // kept by put as the write failure
            }
        }
    }

    /** Saves the confirmed positions; durable with the next flush. */
    void saveConfirmedPositions() {
        Map<String, Object> row = new LinkedHashMap<>();
        confirmedPositions.forEach(
                (endpointId, position) ->
                        row.put(
                                endpointId,
                                List.of(
                                        (long) position.term,
                                        (long) position.entryTerm,
                                        position.index)));
        try {
            put(RowStore.Table.META, CONFIRMED_POSITIONS_ROW, row);
        } catch (IOException e) {
            // kept by put as the write failure
        }
    }

    /**
     * Whether the restored state is older than the given position, which this voter has confirmed.
     */
    boolean isOlderThan(ConfirmedPosition confirmed) {
        if (restored == null) {
            return confirmed.term > 0;
        }
        List<LogEntry> log = restored.getLogEntries();
        SnapshotEntry snapshot = restored.getSnapshotEntry();
        long index =
                log.isEmpty()
                        ? snapshot == null ? 0 : snapshot.getIndex()
                        : log.get(log.size() - 1).getIndex();
        int term =
                log.isEmpty()
                        ? snapshot == null ? 0 : snapshot.getTerm()
                        : log.get(log.size() - 1).getTerm();
        // A shorter log is valid if a later leader truncated it: its last entry then has a later
        // term.
        return restored.getTermPersistentState().getTerm() < confirmed.term
                || index < confirmed.index && term <= confirmed.entryTerm;
    }

    void close() {
        rowStore.close();
    }

    // ---- called by the engine ----

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        put(
                RowStore.Table.META,
                ENDPOINT_ROW,
                MessageCodec.message(
                        "e", "e", state.getLocalEndpoint().getId(), "vote", state.isVoting()));
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView view) throws IOException {
        put(RowStore.Table.META, INITIAL_MEMBERS_ROW, MessageCodec.encode(view));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        RaftEndpoint votedFor = state.getVotedFor();
        put(
                RowStore.Table.META,
                TERM_ROW,
                MessageCodec.message(
                        "t",
                        "term",
                        state.getTerm(),
                        "voted",
                        votedFor == null ? "" : votedFor.getId()));
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        for (LogEntry entry : entries) {
            put(RowStore.Table.LOG, entry.getIndex(), MessageCodec.encode(entry));
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        put(
                RowStore.Table.CHUNKS,
                chunk.getIndex() << CHUNK_INDEX_BITS | chunk.getSnapshotChunkIndex(),
                MessageCodec.encode(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        deleteRange(RowStore.Table.LOG, index, Long.MAX_VALUE);
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        deleteRange(RowStore.Table.LOG, 0, index);
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        deleteRange(
                RowStore.Table.CHUNKS,
                index << CHUNK_INDEX_BITS,
                (index << CHUNK_INDEX_BITS) + count - 1);
    }

    @Override
    public void flush() throws IOException {
        try {
            requireWritable();
            rowStore.flush();
        } catch (IOException e) {
            writeFailure = writeFailure == null ? e : writeFailure;
            throw e;
        }
    }

    private void requireWritable() throws IOException {
        if (writeFailure != null) {
            throw new IOException(
                    "not written after an earlier failure: " + writeFailure.getMessage(),
                    writeFailure);
        }
    }

    private void deleteRange(RowStore.Table table, long from, long to) throws IOException {
        try {
            requireWritable();
            rowStore.deleteRange(table, from, to);
        } catch (IOException e) {
            writeFailure = writeFailure == null ? e : writeFailure;
            throw e;
        }
    }

    private void put(RowStore.Table table, long key, Map<String, Object> value) throws IOException {
        byte[] body = Cbor.encode(value);
        try {
            requireWritable();
            rowStore.put(
                    table,
                    key,
                    ByteBuffer.allocate(CHECKSUM_BYTES + body.length)
                            .putInt(checksum(body, 0))
                            .put(body)
                            .array());
        } catch (IOException e) {
            writeFailure = writeFailure == null ? e : writeFailure;
            throw e;
        }
    }

    private static Map<String, Object> decodeRow(byte[] row) {
        if (row.length < CHECKSUM_BYTES
                || ByteBuffer.wrap(row).getInt() != checksum(row, CHECKSUM_BYTES)) {
            throw new Json.MalformedJsonException("checksum mismatch in a row");
        }
        return Cbor.decode(java.util.Arrays.copyOfRange(row, CHECKSUM_BYTES, row.length));
    }

    private static int checksum(byte[] bytes, int offset) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, offset, bytes.length - offset);
        return (int) crc.getValue();
    }
}
