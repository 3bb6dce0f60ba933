package wingroad.fleet;

import wingroad.duty.DutyStateMachine;
import wingroad.fleet.MessageTransport.Channel;
import wingroad.work.MaintenancePlan;
import wingroad.work.MaintenanceSettings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Tracks what one driver session has been sent by the voter that it is attached to, so that only
 * changes are sent: the maintenance plan, the changed duties, the last committed heartbeat. A new
 * instance sends everything.
 */
final class SessionUpdates {
    private long sentRevision = -1;
    private long sentHeartbeat = -1;
    private boolean sentOpen;

    /** Number of the last plan change sent. */
    private long sentPlanChange;

    /** Whether the plan has been sent at all. */
    private boolean planSent;

    private List<Object> sentTotals = List.of();

    /** Sends the committed changes that have not been sent yet. */
    void push(DutyStateMachine stateMachine, Channel channel, String sessionId) {
        // The plan is sent before the heartbeat that renews the lease on it; messages arrive in
        // order.
        pushPlan(stateMachine, channel, sessionId);
        List<Object> duties = new ArrayList<>();
        for (DutyStateMachine.Duty duty : stateMachine.duties()) {
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
        DutyStateMachine.Session session = stateMachine.session(sessionId);
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
                            stateMachine.revision(),
                            "open",
                            session != null,
                            "beat",
                            heartbeat,
                            "duties",
                            duties));
        }
        sentRevision = stateMachine.revision();
    }

    private void pushPlan(DutyStateMachine stateMachine, Channel channel, String sessionId) {
        MaintenancePlan plan = stateMachine.plan();
        DutyStateMachine.Duty controller = stateMachine.duty(MaintenanceSettings.CONTROLLER_DUTY);
        if (controller == null) {
            // Maintenance is not configured on any driver.
            return;
        }
        boolean isController = controller.owner().equals(sessionId);
        List<Object> totals = isController ? plan.totals() : sentTotals;
        if (!planSent || plan.changeNumber() > sentPlanChange || !totals.equals(sentTotals)) {
            Map<String, Object> message =
                    MessageCodec.message(
                            "plan",
                            "news",
                            plan.changesSince(planSent ? sentPlanChange : 0),
                            "of",
                            stateMachine.revision());
            if (isController) {
                message.put("sums", totals);
                message.put(
                        "live",
                        stateMachine.sessions().stream()
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
