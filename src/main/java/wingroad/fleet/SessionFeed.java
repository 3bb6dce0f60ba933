package wingroad.fleet;

import wingroad.duty.DutyStateMachine;
import wingroad.fleet.Net.Wire;
import wingroad.work.MaintenancePlan;
import wingroad.work.MaintenanceSettings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

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
    void push(DutyStateMachine register, Wire wire, String session) {
        // The plan goes before the beat that renews the lease on it: both come in one order.
        pushWork(register, wire, session);
        List<Object> duties = new ArrayList<>();
        for (DutyStateMachine.Duty d : register.duties()) {
            if (d.revision() > sentRevision) {
                duties.add(
                        List.of(
                                d.name(),
                                d.owner(),
                                d.epoch(),
                                d.run(),
                                d.outcome(),
                                d.handOverTarget()));
            }
        }
        DutyStateMachine.Session s = register.session(session);
        long beat = s == null ? -1 : s.lastHeartbeat();
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

    private void pushWork(DutyStateMachine register, Wire wire, String session) {
        MaintenancePlan plan = register.plan();
        DutyStateMachine.Duty d = register.duty(MaintenanceSettings.CONTROLLER_DUTY);
        if (d == null) {
            // Nobody's file says anything of work.
            return;
        }
        boolean conducts = d.owner().equals(session);
        List<Object> sums = conducts ? plan.totals() : sentSums;
        if (!toldWork || plan.changeNumber() > sentWork || !sums.equals(sentSums)) {
            Map<String, Object> m =
                    MessageCodec.message(
                            "plan",
                            "news",
                            plan.changesSince(toldWork ? sentWork : 0),
                            "of",
                            register.revision());
            if (conducts) {
                m.put("sums", sums);
                m.put(
                        "live",
                        register.sessions().stream()
                                .map(DutyStateMachine.Session::driverName)
                                .toList());
            }
            wire.send(m);
            toldWork = true;
            sentWork = plan.changeNumber();
            sentSums = sums;
        }
    }
}
