package wingroad.fleet;

import wingroad.duty.DutyStateMachine;
import wingroad.duty.SessionExpiryMonitor;
import wingroad.work.MaintenancePlan;
import wingroad.work.MaintenanceSettings;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/** Adds the committed state to a voter's status, as plain values for the command line. */
final class ConsensusStatus {
    private ConsensusStatus() {}

    static void putAll(
            Map<String, Object> status,
            DutyStateMachine stateMachine,
            SessionExpiryMonitor sessionExpiry,
            Duration now) {
        status.put("revision", stateMachine.revision());
        status.put(
                "sessions",
                stateMachine.sessions().stream()
                        .map(
                                session -> {
                                    Duration silence =
                                            sessionExpiry.timeSinceHeartbeat(session.id(), now);
                                    return MessageCodec.message(
                                            "session",
                                            "name",
                                            session.driverName(),
                                            "run",
                                            session.id(),
                                            "since",
                                            session.openedAtMs(),
                                            "quiet-ms",
                                            silence == null ? -1 : silence.toMillis());
                                })
                        .toList());
        status.put(
                "duties",
                stateMachine.duties().stream()
                        .map(
                                duty ->
                                        MessageCodec.message(
                                                "duty",
                                                "name",
                                                duty.name(),
                                                "owner",
                                                DutyStateMachine.driverNameOf(duty.owner()),
                                                "epoch",
                                                duty.epoch(),
                                                "since",
                                                duty.ownedSinceMs(),
                                                "turn",
                                                duty.run(),
                                                "outcome",
                                                duty.outcome(),
                                                "wanted",
                                                duty.handOverTarget(),
                                                "history",
                                                List.copyOf(duty.history())))
                        .toList());
        if (stateMachine.duty(MaintenanceSettings.CONTROLLER_DUTY) != null) {
            status.put("work", planStatus(stateMachine.plan(), stateMachine.staleCommandCount()));
        }
    }

    private static Map<String, Object> planStatus(MaintenancePlan plan, long staleCommands) {
        return MessageCodec.message(
                "work",
                "held",
                plan.held(),
                "late-orders",
                staleCommands,
                "machines",
                plan.machines().values().stream()
                        .map(
                                machine ->
                                        MessageCodec.message(
                                                "machine",
                                                "name",
                                                machine.name(),
                                                "zone",
                                                machine.zone(),
                                                "drivers",
                                                machine.drivers(),
                                                "members",
                                                machine.members().stream()
                                                        .map(
                                                                member ->
                                                                        member.uid()
                                                                                + "#"
                                                                                + member.group())
                                                        .toList()))
                        .toList(),
                "entries",
                plan.entries().stream()
                        .map(entry -> entry.statusFields(plan.waitReason(entry)))
                        .toList(),
                "astray",
                plan.lostDrivers().stream().map(MaintenancePlan.LostDriver::displayName).toList(),
                "history",
                List.copyOf(plan.history()));
    }
}
