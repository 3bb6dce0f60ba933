package wingroad.fleet;

import wingroad.duty.Overdue;
import wingroad.duty.Register;
import wingroad.work.Plan;
import wingroad.work.WorkRules;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/** What an operator may want to know of what is settled, as plain values. */
final class ConsensusStatus {
    private ConsensusStatus() {}

    static void putAll(
            Map<String, Object> status, Register register, Overdue overdue, Duration now) {
        status.put("revision", register.revision());
        status.put(
                "sessions",
                register.sessions().stream()
                        .map(
                                session -> {
                                    Duration silence = overdue.quiet(session.id(), now);
                                    return MessageCodec.message(
                                            "session",
                                            "name",
                                            session.name(),
                                            "run",
                                            session.id(),
                                            "since",
                                            session.since(),
                                            "quiet-ms",
                                            silence == null ? -1 : silence.toMillis());
                                })
                        .toList());
        status.put(
                "duties",
                register.duties().stream()
                        .map(
                                duty ->
                                        MessageCodec.message(
                                                "duty",
                                                "name",
                                                duty.name(),
                                                "owner",
                                                Register.driver(duty.owner()),
                                                "epoch",
                                                duty.epoch(),
                                                "since",
                                                duty.since(),
                                                "turn",
                                                duty.turn(),
                                                "outcome",
                                                duty.outcome(),
                                                "wanted",
                                                duty.wanted(),
                                                "history",
                                                List.copyOf(duty.history())))
                        .toList());
        if (register.duty(WorkRules.CONDUCTOR) != null) {
            status.put("work", planStatus(register.plan(), register.lateOrders()));
        }
    }

    private static Map<String, Object> planStatus(Plan plan, long lateOrders) {
        return MessageCodec.message(
                "work",
                "held",
                plan.held(),
                "late-orders",
                lateOrders,
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
                                                machine.parts().stream()
                                                        .map(
                                                                member ->
                                                                        member.uid()
                                                                                + "#"
                                                                                + member.group())
                                                        .toList()))
                        .toList(),
                "entries",
                plan.entries().stream().map(entry -> entry.page(plan.waitsFor(entry))).toList(),
                "astray",
                plan.astray().stream().map(Plan.LostDriver::known).toList(),
                "history",
                List.copyOf(plan.history()));
    }
}
