package wingroad.fleet;

import wingroad.duty.DutyStateMachine;
import wingroad.duty.SessionExpiryMonitor;
import wingroad.work.MaintenancePlan;
import wingroad.work.MaintenanceSettings;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/** What an operator may want to know of what is settled, as plain values. */
final class CouncilStatus {
    private CouncilStatus() {}

    static void add(
            Map<String, Object> all,
            DutyStateMachine register,
            SessionExpiryMonitor overdue,
            Duration now) {
        all.put("revision", register.revision());
        all.put(
                "sessions",
                register.sessions().stream()
                        .map(
                                s -> {
                                    Duration quiet = overdue.timeSinceHeartbeat(s.id(), now);
                                    return MessageCodec.message(
                                            "session",
                                            "name",
                                            s.driverName(),
                                            "run",
                                            s.id(),
                                            "since",
                                            s.openedAtMs(),
                                            "quiet-ms",
                                            quiet == null ? -1 : quiet.toMillis());
                                })
                        .toList());
        all.put(
                "duties",
                register.duties().stream()
                        .map(
                                d ->
                                        MessageCodec.message(
                                                "duty",
                                                "name",
                                                d.name(),
                                                "owner",
                                                DutyStateMachine.driverNameOf(d.owner()),
                                                "epoch",
                                                d.epoch(),
                                                "since",
                                                d.ownedSinceMs(),
                                                "turn",
                                                d.run(),
                                                "outcome",
                                                d.outcome(),
                                                "wanted",
                                                d.handOverTarget(),
                                                "history",
                                                List.copyOf(d.history())))
                        .toList());
        if (register.duty(MaintenanceSettings.CONTROLLER_DUTY) != null) {
            all.put("work", work(register.plan(), register.staleCommandCount()));
        }
    }

    private static Map<String, Object> work(MaintenancePlan plan, long lateOrders) {
        return MessageCodec.message(
                "work",
                "held",
                plan.held(),
                "late-orders",
                lateOrders,
                "machines",
                plan.machines().values().stream()
                        .map(
                                m ->
                                        MessageCodec.message(
                                                "machine",
                                                "name",
                                                m.name(),
                                                "zone",
                                                m.zone(),
                                                "drivers",
                                                m.drivers(),
                                                "members",
                                                m.members().stream()
                                                        .map(p -> p.uid() + "#" + p.group())
                                                        .toList()))
                        .toList(),
                "entries",
                plan.entries().stream().map(e -> e.statusFields(plan.waitReason(e))).toList(),
                "astray",
                plan.lostDrivers().stream().map(MaintenancePlan.LostDriver::displayName).toList(),
                "history",
                List.copyOf(plan.history()));
    }
}
