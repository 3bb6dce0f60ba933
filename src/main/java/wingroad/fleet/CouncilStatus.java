package wingroad.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import wingroad.duty.Overdue;
import wingroad.duty.Register;
import wingroad.work.Plan;
import wingroad.work.WorkRules;

/** What an operator may want to know of what is settled, as plain values. */
final class CouncilStatus {
    private CouncilStatus() {}

    static void add(Map<String, Object> all, Register register, Overdue overdue, Duration now) {
        all.put("revision", register.revision());
        all.put(
                "sessions",
                register.sessions().stream()
                        .map(
                                s -> {
                                    Duration quiet = overdue.quiet(s.id(), now);
                                    return MessageCodec.message(
                                            "session",
                                            "name",
                                            s.name(),
                                            "run",
                                            s.id(),
                                            "since",
                                            s.since(),
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
                                                Register.driver(d.owner()),
                                                "epoch",
                                                d.epoch(),
                                                "since",
                                                d.since(),
                                                "turn",
                                                d.turn(),
                                                "outcome",
                                                d.outcome(),
                                                "wanted",
                                                d.wanted(),
                                                "history",
                                                List.copyOf(d.history())))
                        .toList());
        if (register.duty(WorkRules.CONDUCTOR) != null) {
            all.put("work", work(register.plan(), register.lateOrders()));
        }
    }

    private static Map<String, Object> work(Plan plan, long lateOrders) {
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
                                                m.parts().stream()
                                                        .map(p -> p.uid() + "#" + p.group())
                                                        .toList()))
                        .toList(),
                "entries",
                plan.entries().stream().map(e -> e.page(plan.waitsFor(e))).toList(),
                "astray",
                plan.astray().stream().map(Plan.LostDriver::known).toList(),
                "history",
                List.copyOf(plan.history()));
    }
}
