package wingroad.state;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.time.Duration;

/** Tests that held txns and their scheduled checks are let go once they are answered. */
class HeldTxnsTest {
    private static final int MANY = 10_000;

    private static Txn txn(int number) {
        TxnType type = TxnType.fromSettings(new wingroad.Fixtures().settings)[0];
        return new Txn(
                "t" + number, type, new Group(7, 0), Duration.ZERO, Duration.ofDays(1), -1, false);
    }

    /** Guards against keeping answered txns where nothing iterates over the held ones. */
    @Test
    void answeredTxnsAreLetGoWithoutAnyIteration() {
        HeldTxns held = new HeldTxns();
        Txn waiting = txn(0);
        held.add(waiting);
        for (int i = 1; i <= MANY; i++) {
            Txn txn = txn(i);
            held.add(txn);
            txn.answered = true;
            held.txnAnswered();
        }
        assertThat(held.size()).isLessThan(1000);
        assertThat(held.iterator().next()).isSameAs(waiting);
        held.removeAnswered();
        assertThat(held).containsExactly(waiting);
        assertThat(held.descendingIterator().next()).isSameAs(waiting);
    }

    /** Guards against keeping a closed txn until a check that is due in a day. */
    @Test
    void checksOfClosedTxnsAreLetGoBeforeTheyAreDue() {
        EventQueue events = new EventQueue();
        Object group = new Object();
        events.add(Duration.ofSeconds(5), group);
        Txn open = txn(0);
        events.add(Duration.ofSeconds(7), open);
        for (int i = 1; i <= MANY; i++) {
            Txn txn = txn(i);
            events.add(Duration.ofHours(23), txn);
            events.add(Duration.ofSeconds(1), txn);
            txn.answered = true;
            events.txnClosed(txn);
        }
        assertThat(events.size()).isLessThan(5000);
        assertThat(pollDue(events, Duration.ofSeconds(6))).isSameAs(group);
        assertThat(pollDue(events, Duration.ofSeconds(7))).isSameAs(open);
        assertThat(pollDue(events, Duration.ofSeconds(8))).isNull();
    }

    /** The next due target that is not a closed txn. */
    private static Object pollDue(EventQueue events, Duration now) {
        Object target = events.pollDue(now);
        while (target instanceof Txn txn && txn.answered) {
            target = events.pollDue(now);
        }
        return target;
    }

    @Test
    void checksAreDueInOrderOfTimeThenOfScheduling() {
        EventQueue events = new EventQueue();
        events.add(Duration.ofSeconds(2), "third");
        events.add(Duration.ofSeconds(1), "first");
        events.add(Duration.ofSeconds(1), "second");
        assertThat(events.nextDueAt()).isEqualTo(Duration.ofSeconds(1));
        assertThat(events.pollDue(Duration.ZERO)).isNull();
        assertThat(events.pollDue(Duration.ofSeconds(3))).isEqualTo("first");
        assertThat(events.pollDue(Duration.ofSeconds(3))).isEqualTo("second");
        assertThat(events.pollDue(Duration.ofSeconds(3))).isEqualTo("third");
        assertThat(events.nextDueAt()).isNull();
    }
}
