package wingroad.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wingroad.state.Member.Role;
import wingroad.state.Submission.End;

/** What the tests share: terms of a small deployment, a router, and short ways to tell it things. */
final class Given {
    static final int READ = 0;
    static final int WRITE = 1;
    static final Duration ANSWER = at(5);

    final Map<String, Object> terms = new HashMap<>();
    final List<String> log = new ArrayList<>();
    TxnRouter router;

    Given() {
        terms.put("txn-types", 2.0);
        terms.put("step", at(5));
        terms.put("drivers", 2.0);
        terms.put("zone", 0.0);
        terms.put("may-probe", true);
        terms.put("may-cancel", true);
        terms.put("second-copies", true);
        terms.put("most-submissions", 4.0);
        terms.put("members-check", "silent");
        terms.put("connect-time-out", at(250));
        terms.put("cold", at(10_000));
        terms.put("cold-share", 0.25);
        terms.put("fall", at(1000));
        terms.put("fall-multiple", 2.0);
        terms.put("drain-grace", at(1000));
        terms.put("ask-within", at(8000));
        type(READ, "repeatable", "recent", 600, 2000);
        type(WRITE, "once-only", "update", 600, 3000);
        terms.put("txn-type.0.oldest-data", at(1000));
        terms.put("txn-type.1.late-share", 0.5);
    }

    Given with(String name, Object value) {
        terms.put(name, value);
        return this;
    }

    Given type(int i, String repeat, String reads, long sla, long expiry) {
        String t = "txn-type." + i + ".";
        terms.put(t + "repeat", repeat);
        terms.put(t + "reads", reads);
        terms.put(t + "sla-time", at(sla));
        terms.put(t + "expiry", at(expiry));
        terms.put(t + "value", 1.0);
        terms.put(t + "window", at(4000));
        return this;
    }

    /** A router whose list names these members of group 7, all long up, in zone 0. */
    Given group(long... members) {
        router = new TxnRouter(terms, 42, log::add);
        router.listStarts(at(0), true);
        for (long m : members) {
            listed(0, m, false, null);
        }
        router.listEnds(at(0));
        return this;
    }

    void listed(long now, long member, boolean draining, Duration startedAt) {
        router.listed(at(now), member, 7, 0, 0, 1, false, draining, false, startedAt);
    }

    /** A probe's answer: the member's role and position, as of now. */
    void says(long now, long member, Role role, long position) {
        router.reported(at(now), member, role, at(position), Double.NaN, Double.NaN, Double.NaN);
        router.probeEnded(at(now), member, true, at(1));
    }

    /** Member 1 is the primary, the others are replicas; all as of now. */
    Given roles(long now, long... replicas) {
        says(now, 1, Role.PRIMARY, now);
        for (long m : replicas) {
            says(now, m, Role.REPLICA, now);
        }
        return this;
    }

    void txn(long now, String id, int type, long left) {
        router.txnArrived(at(now), id, type, 7, at(left), -1, null, false);
    }

    void ends(long now, String id, int submission, long member, End end, Role role) {
        router.submissionEnded(at(now), id, submission, member, end, ANSWER, end == End.COMMITTED, role,
            null);
    }

    List<Decision> decisions(long now) {
        List<Decision> all = new ArrayList<>();
        for (Decision d = router.next(at(now)); d != null; d = router.next(at(now))) {
            all.add(d);
        }
        return all;
    }

    /** Lets the time pass, calling the router whenever it asks to be. */
    List<Decision> until(long now) {
        List<Decision> all = new ArrayList<>();
        while (router.wakeAt() != null && router.wakeAt().compareTo(at(now)) <= 0) {
            all.addAll(decisions(router.wakeAt().toMillis() + 1));
        }
        all.addAll(decisions(now));
        return all;
    }

    static Duration at(long ms) {
        return Duration.ofMillis(ms);
    }
}
