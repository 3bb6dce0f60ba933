package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import wingroad.protocol.MemberList;
import wingroad.protocol.MemberList.Entry;

import java.util.List;

/**
 * Tests how a list that another driver relays is translated to this driver's own endpoints. The
 * relaying driver's ports are 10 higher than this driver's.
 */
class LocalEndpointsTest {
    private static final long EPOCH = 5;

    private final LocalEndpoints endpoints = new LocalEndpoints();

    @BeforeEach
    void recordOwnList() {
        endpoints.record(whole(1, ready("a", 1), ready("b", 2)));
    }

    private static Entry entry(String uid, int port, String state, double startedAtMs) {
        return new Entry(uid, "127.0.0.1", port, "z", "m", 7, state, 1, startedAtMs, false);
    }

    private static Entry ready(String uid, int port) {
        return entry(uid, port, "ready", 0);
    }

    private static Entry draining(String uid, int port) {
        return entry(uid, port, Entry.DRAINING, 0);
    }

    private static MemberList whole(long version, Entry... entries) {
        return new MemberList(version, true, List.of(entries));
    }

    private static MemberList changes(long version, Entry... entries) {
        return new MemberList(version, false, List.of(entries));
    }

    @Test
    void relayedStateIsAppliedUnderTheOwnEndpoint() {
        LocalEndpoints.Translation translation =
                endpoints.translate(EPOCH, changes(2, draining("a", 11)));
        assertThat(translation.list()).isEqualTo(changes(2, draining("a", 1)));
        assertThat(translation.complete()).isTrue();
        assertThat(endpoints.translate(EPOCH, changes(3, ready("a", 11))))
                .isEqualTo(new LocalEndpoints.Translation(changes(3, ready("a", 1)), true));
    }

    @Test
    void memberThatIsNotKnownHereIsLeftToTheOwnAgent() {
        MemberList relayed = whole(2, ready("a", 11), draining("b", 12), ready("new", 13));
        LocalEndpoints.Translation translation = endpoints.translate(EPOCH, relayed);
        assertThat(translation.list()).isEqualTo(whole(2, ready("a", 1), draining("b", 2)));
        assertThat(translation.complete()).isFalse();
        assertThat(endpoints.translate(EPOCH, relayed).complete())
                .as("as long as the own agent has not listed it")
                .isFalse();
        endpoints.record(whole(2, ready("a", 1), draining("b", 2), ready("new", 3)));
        assertThat(endpoints.translate(EPOCH, relayed).complete()).isTrue();
    }

    @Test
    void restartedMemberMayHaveMovedHere() {
        LocalEndpoints.Translation translation =
                endpoints.translate(EPOCH, changes(2, entry("a", 11, "ready", 900)));
        assertThat(translation.list()).isEqualTo(changes(2, entry("a", 1, "ready", 900)));
        assertThat(translation.complete()).isFalse();
    }

    @Test
    void memberThatMovedForTheRelayingDriverMayHaveMovedHere() {
        assertThat(endpoints.translate(EPOCH, whole(2, ready("a", 11), ready("b", 12))).complete())
                .isTrue();
        assertThat(endpoints.translate(EPOCH, whole(3, ready("a", 11), ready("b", 15))).complete())
                .isFalse();
    }

    @Test
    void endpointsOfAnotherRelayingDriverAreNoMoves() {
        endpoints.translate(EPOCH, whole(2, ready("a", 11), ready("b", 12)));
        assertThat(
                        endpoints
                                .translate(EPOCH + 1, whole(3, ready("a", 21), ready("b", 22)))
                                .complete())
                .isTrue();
    }

    /** A change whose entry is as before, or without any entry, may be one of an endpoint here. */
    @Test
    void changeThatShowsInNoFieldMayBeOneOfTheEndpoint() {
        assertThat(endpoints.translate(EPOCH, changes(2, ready("a", 11))).complete()).isFalse();
        assertThat(endpoints.translate(EPOCH, changes(2)).complete()).isFalse();
    }

    @Test
    void memberThatIsGoneNeedsNoEndpoint() {
        LocalEndpoints.Translation translation =
                endpoints.translate(
                        EPOCH,
                        changes(
                                2,
                                entry("a", 11, Entry.GONE, 0),
                                entry("unknown", 13, Entry.GONE, 0)));
        assertThat(translation.list()).isEqualTo(changes(2, entry("a", 1, Entry.GONE, 0)));
        assertThat(translation.complete()).isTrue();
        assertThat(endpoints.translate(EPOCH, changes(3, ready("a", 11))).complete())
                .as("the member is back")
                .isFalse();
    }
}
