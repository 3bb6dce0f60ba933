package wingroad.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wingroad.duty.Command;
import wingroad.fleet.MessageCodec.Endpoint;

/** A voter's state: what it survives, and when it is not trusted. */
class ConsensusStoreTest {
    private static ConsensusStore with(RowStore rows, int term, long entries) throws IOException {
        ConsensusStore k = new ConsensusStore(rows, () -> "i1");
        k.saveGroup("g", List.of("a/i1"), 0);
        k.persistAndFlushLocalEndpoint(
                MessageCodec.MODEL_FACTORY
                        .createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(Endpoint.of("a/i1"))
                        .setVoting(true)
                        .build());
        k.persistAndFlushInitialGroupMembers(
                MessageCodec.MODEL_FACTORY
                        .createRaftGroupMembersViewBuilder()
                        .setLogIndex(0)
                        .setMembers(MessageCodec.decodeEndpoints(List.of("a/i1")))
                        .setVotingMembers(MessageCodec.decodeEndpoints(List.of("a/i1")))
                        .build());
        k.persistAndFlushTerm(
                MessageCodec.MODEL_FACTORY
                        .createRaftTermPersistentStateBuilder()
                        .setTerm(term)
                        .build());
        for (long i = 1; i <= entries; i++) {
            k.persistLogEntries(
                    List.of(
                            MessageCodec.MODEL_FACTORY
                                    .createLogEntryBuilder()
                                    .setIndex(i)
                                    .setTerm(term)
                                    .setOperation(Command.startRun("a/1", "x", 5, i))
                                    .build()));
        }
        k.flush();
        return k;
    }

    @Test
    void whatWasFlushedIsThereAfterAKillAndWhatWasNotIsNot() throws IOException {
        MemoryRowStore rows = new MemoryRowStore();
        ConsensusStore k = with(rows, 3, 4);
        k.persistLogEntries(
                List.of(
                        MessageCodec.MODEL_FACTORY
                                .createLogEntryBuilder()
                                .setIndex(5)
                                .setTerm(3)
                                .setOperation(Command.noOp())
                                .build()));
        ConsensusStore again = new ConsensusStore(rows.afterKill(), () -> "i2");
        assertThat(again.identity()).isEqualTo("i1");
        assertThat(again.restored().getLogEntries()).hasSize(4);
        assertThat(again.restored().getLogEntries().get(3).getOperation())
                .isEqualTo(Command.startRun("a/1", "x", 5, 4));
        assertThat(again.restored().getTermPersistentState().getTerm()).isEqualTo(3);
    }

    @Test
    void aStateIsOlderWhereATermOrAnEntryOfItIsMissing() throws IOException {
        MemoryRowStore rows = new MemoryRowStore();
        with(rows, 3, 4);
        ConsensusStore k = new ConsensusStore(rows.afterKill(), () -> "i2");
        assertThat(k.isOlderThan(new ConsensusStore.ConfirmedPosition(3, 3, 4))).isFalse();
        assertThat(k.isOlderThan(new ConsensusStore.ConfirmedPosition(4, 3, 4)))
                .as("a later term")
                .isTrue();
        assertThat(k.isOlderThan(new ConsensusStore.ConfirmedPosition(3, 3, 5)))
                .as("a later entry")
                .isTrue();
        assertThat(k.isOlderThan(new ConsensusStore.ConfirmedPosition(3, 2, 9)))
                .as("entries that a later leader cut")
                .isFalse();
    }

    @Test
    void aRowThatWasChangedIsNotTaken() throws IOException {
        MemoryRowStore rows = new MemoryRowStore();
        with(rows, 3, 4);
        byte[] row = rows.readAll(RowStore.Table.LOG).get(2L).clone();
        row[row.length - 1] ^= 1;
        rows.put(RowStore.Table.LOG, 2, row);
        rows.flush();
        ConsensusStore k = new ConsensusStore(rows, () -> "i2");
        assertThat(k.setAsideNotice()).contains("checksum");
        assertThat(k.identity()).isEqualTo("i2");
        assertThat(k.groupId()).isEmpty();
    }

    @Test
    void nothingIsConfirmedAfterAWriteThatFailed() throws IOException {
        MemoryRowStore rows = new MemoryRowStore();
        ConsensusStore k = with(rows, 1, 1);
        rows.full = true;
        assertThatThrownBy(k::flush).isInstanceOf(IOException.class);
        rows.full = false;
        assertThatThrownBy(k::flush)
                .isInstanceOf(IOException.class)
                .hasMessageContaining("not written after an earlier failure");
    }

    @Test
    void aFileKeepsTheSame(@TempDir Path dir) throws IOException {
        SqliteRowStore rows = new SqliteRowStore(dir.resolve("council.db"));
        with(rows, 3, 4).close();
        ConsensusStore again =
                new ConsensusStore(new SqliteRowStore(dir.resolve("council.db")), () -> "i2");
        assertThat(again.identity()).isEqualTo("i1");
        assertThat(again.restored().getLogEntries()).hasSize(4);
        again.close();
    }
}
