package wingroad.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import wingroad.duty.Register;
import wingroad.fleet.Net.Wire;
import wingroad.work.Plan;
import wingroad.work.WorkRules;

/**
 * What one driver's session has been told by the voter that it is attached to, so that it is told
 * the rest: the plan, the duties that have changed, the last renewal that is settled. A new one
 * tells everything.
 */
final class SessionFeed {
    private long sentRevision = -1;
    private long sentBeat = -1;
    private boolean sentOpen;

    /** Up to which change of the plan it has been told; whether it has been told at all. */
    private long sentWork;

    private boolean toldWork;
    private List<Object> sentSums = List.of();

    /** Tells what is settled and not told yet. */
    void push(Register register, Wire wire, String session) {
        // The plan goes before the beat that renews the lease on it: both come in one order.
        pushWork(register, wire, session);
        List<Object> duties = new ArrayList<>();
        for (Register.Duty d : register.duties()) {
            if (d.revision() > sentRevision) {
                duties.add(
                        List.of(d.name(), d.owner(), d.epoch(), d.turn(), d.outcome(), d.wanted()));
            }
        }
        Register.Session s = register.session(session);
        long beat = s == null ? -1 : s.beat();
        if (beat != sentBeat || !duties.isEmpty() || sentRevision < 0 || sentOpen != (s != null)) {
            sentBeat = beat;
            sentOpen = s != null;
            wire.send(
                    MessageCodec.message(
                            "settled",
                            "rev",
                            register.revision(),
                            "open",
                            s != null,
                            "beat",
                            beat,
                            "duties",
                            duties));
        }
        sentRevision = register.revision();
    }

    private void pushWork(Register register, Wire wire, String session) {
        Plan plan = register.plan();
        Register.Duty d = register.duty(WorkRules.CONDUCTOR);
        if (d == null) {
            // Nobody's file says anything of work.
            return;
        }
        boolean conducts = d.owner().equals(session);
        List<Object> sums = conducts ? plan.sums() : sentSums;
        if (!toldWork || plan.changes() > sentWork || !sums.equals(sentSums)) {
            Map<String, Object> m =
                    MessageCodec.message(
                            "plan",
                            "news",
                            plan.news(toldWork ? sentWork : 0),
                            "of",
                            register.revision());
            if (conducts) {
                m.put("sums", sums);
                m.put("live", register.sessions().stream().map(Register.Session::name).toList());
            }
            wire.send(m);
            toldWork = true;
            sentWork = plan.changes();
            sentSums = sums;
        }
    }
}
