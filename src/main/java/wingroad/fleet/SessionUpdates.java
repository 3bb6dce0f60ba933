package wingroad.fleet;

import wingroad.duty.DutyStateMachine;
import wingroad.fleet.MessageTransport.Channel;
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
final class SessionUpdates {
    private long sentRevision = -1;
    private long sentHeartbeat = -1;
    private boolean sentOpen;

    /** Up to which change of the plan it has been told; whether it has been told at all. */
    private long sentPlanChange;

    private boolean planSent;
    private List<Object> sentTotals = List.of();

    /** Tells what is settled and not told yet. */
    void push(DutyStateMachine register, Channel channel, String sessionId) {
        // The plan goes before the beat that renews the lease on it: both come in one order.
        pushPlan(register, channel, sessionId);
        List<Object> duties = new ArrayList<>();
        for (DutyStateMachine.Duty duty : register.duties()) {
            if (duty.revision() > sentRevision) {
                duties.add(
                        List.of(
                                duty.name(),
                                duty.owner(),
                                duty.epoch(),
                                duty.run(),
                                duty.outcome(),
                                duty.handOverTarget()));
            }
        }
        DutyStateMachine.Session session = register.session(sessionId);
        long heartbeat = session == null ? -1 : session.lastHeartbeat();
        if (heartbeat != sentHeartbeat
                || !duties.isEmpty()
                || sentRevision < 0
                || sentOpen != (session != null)) {
            sentHeartbeat = heartbeat;
            sentOpen = session != null;
            channel.send(
                    MessageCodec.message(
                            "settled",
                            "rev",
                            register.revision(),
                            "open",
                            session != null,
                            "beat",
                            heartbeat,
                            "duties",
                            duties));
        }
        sentRevision = register.revision();
    }

    private void pushPlan(DutyStateMachine register, Channel channel, String sessionId) {
        MaintenancePlan plan = register.plan();
        DutyStateMachine.Duty conductor = register.duty(MaintenanceSettings.CONTROLLER_DUTY);
        if (conductor == null) {
            // Nobody's file says anything of work.
            return;
        }
        boolean conducts = conductor.owner().equals(sessionId);
        List<Object> totals = conducts ? plan.totals() : sentTotals;
        if (!planSent || plan.changeNumber() > sentPlanChange || !totals.equals(sentTotals)) {
            Map<String, Object> message =
                    MessageCodec.message(
                            "plan",
                            "news",
                            plan.changesSince(planSent ? sentPlanChange : 0),
                            "of",
                            register.revision());
            if (conducts) {
                message.put("sums", totals);
                message.put(
                        "live",
                        register.sessions().stream()
                                .map(DutyStateMachine.Session::driverName)
                                .toList());
            }
            channel.send(message);
            planSent = true;
            sentPlanChange = plan.changeNumber();
            sentTotals = totals;
        }
    }
}
