package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.millis;

import org.junit.jupiter.api.Test;

import wingroad.protocol.MemberList;
import wingroad.protocol.MemberList.Entry;

import java.time.Duration;
import java.util.List;

/** Tests what a list with a lower version than one before may change. */
class StaleListFilterTest {
    private final StaleListFilter filter = new StaleListFilter();

    private static Entry entry(String uid, String state, double startedAtMs) {
        return new Entry(uid, "127.0.0.1", 5433, "a", "std", 7, state, 1, startedAtMs, false);
    }

    private static Entry ready(String uid) {
        return entry(uid, "ready", 0);
    }

    private List<String> statesAfter(Duration now, MemberList list) {
        return filter.filter(list, now).entries().stream()
                .map(entry -> entry.uid() + " " + entry.state())
                .toList();
    }

    private static MemberList whole(long version, Entry... entries) {
        return new MemberList(version, true, List.of(entries));
    }

    private static MemberList changes(long version, Entry... entries) {
        return new MemberList(version, false, List.of(entries));
    }

    /** Guards against new txns at a draining member after discovery has moved to an older list. */
    @Test
    void olderListDoesNotEndADrain() {
        filter.filter(whole(41, ready("a"), ready("b")), millis(0));
        filter.filter(changes(42, entry("a", "draining", 0)), millis(1000));
        assertThat(statesAfter(millis(2000), whole(41, ready("a"), ready("b"))))
                .containsExactly("a draining", "b ready");
        assertThat(statesAfter(millis(3000), changes(42, entry("a", "draining", 0))))
                .containsExactly("a draining");
        assertThat(statesAfter(millis(4000), changes(43, ready("a")))).containsExactly("a ready");
    }

    @Test
    void olderListDoesNotBringBackAMemberThatIsGone() {
        filter.filter(whole(41, ready("a"), ready("b"), ready("c")), millis(0));
        filter.filter(changes(42, entry("a", "gone", 0)), millis(10));
        filter.filter(whole(43, ready("c")), millis(20));
        assertThat(statesAfter(millis(30), whole(41, ready("a"), ready("b"), ready("c"))))
                .containsExactly("a gone", "b gone", "c ready");
        assertThat(statesAfter(millis(40), whole(41, entry("a", "draining", 0))))
                .as("a drain binds where an absence alone does not")
                .containsExactly("a draining");
        assertThat(statesAfter(millis(50), whole(41, ready("a")))).containsExactly("a gone");
    }

    @Test
    void olderListMayStopMembersAndAddThem() {
        filter.filter(whole(42, ready("a")), millis(0));
        assertThat(statesAfter(millis(10), whole(9, entry("a", "draining", 0), ready("new"))))
                .containsExactly("a draining", "new ready");
        assertThat(statesAfter(millis(20), whole(10, ready("a"))))
                .as("known from a list that is not newer")
                .containsExactly("a draining");
    }

    @Test
    void memberThatHasStartedAgainIsUsedWhateverTheVersion() {
        filter.filter(whole(42, entry("a", "draining", 1000)), millis(0));
        assertThat(statesAfter(millis(10), whole(9, entry("a", "ready", 2000))))
                .containsExactly("a ready");
    }

    /** A service that was set up anew counts from the start, and is believed in the end. */
    @Test
    void lowerVersionsAreBelievedAfterTheRecountPeriod() {
        filter.filter(whole(42, entry("a", "draining", 0)), millis(0));
        long recountMs = StaleListFilter.RECOUNT_PERIOD.toMillis();
        assertThat(statesAfter(millis(1000), whole(1, ready("a")))).containsExactly("a draining");
        assertThat(statesAfter(millis(1000 + recountMs - 1), whole(2, ready("a"))))
                .containsExactly("a draining");
        assertThat(statesAfter(millis(1000 + recountMs), whole(3, ready("a"))))
                .containsExactly("a ready");
        assertThat(statesAfter(millis(1001 + recountMs), changes(4, entry("a", "draining", 0))))
                .containsExactly("a draining");
        assertThat(statesAfter(millis(1002 + recountMs), changes(3, ready("a"))))
                .as("the new count has an order of its own")
                .containsExactly("a draining");
    }

    @Test
    void stopsAreForgottenAfterTheirRetention() {
        filter.filter(whole(42, entry("a", "gone", 0)), millis(0));
        Duration retention = StaleListFilter.STOP_RETENTION;
        assertThat(statesAfter(retention, whole(41, ready("a")))).containsExactly("a ready");
    }
}
