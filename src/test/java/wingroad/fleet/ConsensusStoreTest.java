package wingroad.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import wingroad.duty.Command;
import wingroad.fleet.MessageCodec.Endpoint;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Tests which part of a voter's state survives a kill and when a state is rejected. */
class ConsensusStoreTest {
    private static ConsensusStore storeWithEntries(RowStore rows, int term, long entryCount)
            throws IOException {
        ConsensusStore store = new ConsensusStore(rows, () -> "i1");
        store.saveGroup("g", List.of("a/i1"), 0);
        store.persistAndFlushLocalEndpoint(
                MessageCodec.MODEL_FACTORY
                        .createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(Endpoint.of("a/i1"))
                        .setVoting(true)
                        .build());
        store.persistAndFlushInitialGroupMembers(
                MessageCodec.MODEL_FACTORY
                        .createRaftGroupMembersViewBuilder()
                        .setLogIndex(0)
                        .setMembers(MessageCodec.decodeEndpoints(List.of("a/i1")))
                        .setVotingMembers(MessageCodec.decodeEndpoints(List.of("a/i1")))
                        .build());
        store.persistAndFlushTerm(
                MessageCodec.MODEL_FACTORY
                        .createRaftTermPersistentStateBuilder()
                        .setTerm(term)
                        .build());
        for (long i = 1; i <= entryCount; i++) {
            store.persistLogEntries(
                    List.of(
                            MessageCodec.MODEL_FACTORY
                                    .createLogEntryBuilder()
                                    .setIndex(i)
                                    .setTerm(term)
                                    .setOperation(Command.startRun("a/1", "x", 5, i))
                                    .build()));
        }
        store.flush();
        return store;
    }

    @Test
    void onlyFlushedEntriesSurviveAKill() throws IOException {
        MemoryRowStore rows = new MemoryRowStore();
        ConsensusStore store = storeWithEntries(rows, 3, 4);
        store.persistLogEntries(
                List.of(
                        MessageCodec.MODEL_FACTORY
                                .createLogEntryBuilder()
                                .setIndex(5)
                                .setTerm(3)
                                .setOperation(Command.noOp())
                                .build()));
        ConsensusStore reopened = new ConsensusStore(rows.afterKill(), () -> "i2");
        assertThat(reopened.identity()).isEqualTo("i1");
        assertThat(reopened.restored().getLogEntries()).hasSize(4);
        assertThat(reopened.restored().getLogEntries().get(3).getOperation())
                .isEqualTo(Command.startRun("a/1", "x", 5, 4));
        assertThat(reopened.restored().getTermPersistentState().getTerm()).isEqualTo(3);
    }

    @Test
    void stateIsOlderIfTermOrEntryIsMissing() throws IOException {
        MemoryRowStore rows = new MemoryRowStore();
        storeWithEntries(rows, 3, 4);
        ConsensusStore store = new ConsensusStore(rows.afterKill(), () -> "i2");
        assertThat(store.isOlderThan(new ConsensusStore.ConfirmedPosition(3, 3, 4))).isFalse();
        assertThat(store.isOlderThan(new ConsensusStore.ConfirmedPosition(4, 3, 4)))
                .as("the confirmed term is later")
                .isTrue();
        assertThat(store.isOlderThan(new ConsensusStore.ConfirmedPosition(3, 3, 5)))
                .as("a confirmed entry is missing")
                .isTrue();
        assertThat(store.isOlderThan(new ConsensusStore.ConfirmedPosition(3, 2, 9)))
                .as("missing entries were truncated by a later leader")
                .isFalse();
    }

    @Test
    void rowWithWrongChecksumSetsStateAside() throws IOException {
        MemoryRowStore rows = new MemoryRowStore();
        storeWithEntries(rows, 3, 4);
        byte[] row = rows.readAll(RowStore.Table.LOG).get(2L).clone();
        row[row.length - 1] ^= 1;
        rows.put(RowStore.Table.LOG, 2, row);
        rows.flush();
        ConsensusStore store = new ConsensusStore(rows, () -> "i2");
        assertThat(store.setAsideNotice()).contains("checksum");
        assertThat(store.identity()).isEqualTo("i2");
        assertThat(store.groupId()).isEmpty();
    }

    @Test
    void flushFailsAfterAnEarlierWriteFailure() throws IOException {
        MemoryRowStore rows = new MemoryRowStore();
        ConsensusStore store = storeWithEntries(rows, 1, 1);
        rows.diskFull = true;
        assertThatThrownBy(store::flush).isInstanceOf(IOException.class);
        rows.diskFull = false;
        assertThatThrownBy(store::flush)
                .isInstanceOf(IOException.class)
                .hasMessageContaining("not written after an earlier failure");
    }

    @Test
    void sqliteFileKeepsStateAcrossReopen(@TempDir Path directory) throws IOException {
        SqliteRowStore rows = new SqliteRowStore(directory.resolve("council.db"));
        storeWithEntries(rows, 3, 4).close();
        ConsensusStore reopened =
                new ConsensusStore(new SqliteRowStore(directory.resolve("council.db")), () -> "i2");
        assertThat(reopened.identity()).isEqualTo("i1");
        assertThat(reopened.restored().getLogEntries()).hasSize(4);
        reopened.close();
    }
}
