package wingroad.driver;

import wingroad.driver.Exchange.MemberStatus;
import wingroad.driver.Exchange.Report;
import wingroad.protocol.Gauges;
import wingroad.protocol.MemberInput;
import wingroad.state.Member.Role;
import wingroad.state.Submission.Outcome;
import wingroad.terms.RouterSettings;

import java.time.Duration;
import java.util.Map;

/** What a member answered, in the module's words. */
final class Answer {
    static final String TURNED_AWAY = "53300";

    /** One that can't be made use of, and may have run. */
    static final Answer SPOILT = new Answer(Outcome.ERROR);

    final Outcome end;
    final MemberStatus status;

    /** The row's messages, where there is one. */
    final byte[] row;

    /** The member's report, where the row itself is one. */
    final Report asked;

    private Answer(Outcome end) {
        this.end = end;
        status = MemberStatus.NOTHING;
        row = null;
        asked = null;
    }

    Answer(MemberInput in, Clock clock, boolean probe) {
        end = end(in);
        Double position = Gauges.number(in.parameter("caught_up_to"));
        String gauges = in.parameter("gauges");
        status =
                new MemberStatus(
                        role(in.parameter("part")),
                        position == null ? null : clock.past(position),
                        gauges == null ? null : report(gauges, clock));
        row = in.served() && !probe ? in.row() : null;
        asked = in.served() && probe && in.value() != null ? report(in.value(), clock) : null;
    }

    private static Outcome end(MemberInput in) {
        if (in.served()) {
            return Outcome.COMMITTED;
        }
        String code = in.error() == null ? "" : in.error();
        return switch (code) {
            case "25006", "72000" -> Outcome.MISSED;
            case TURNED_AWAY -> Outcome.FULL;
            default -> Outcome.ERROR;
        };
    }

    private static Role role(String part) {
        return "master".equals(part)
                ? Role.PRIMARY
                : "replica".equals(part) ? Role.REPLICA : Role.UNKNOWN;
    }

    static Report report(String gauges, Clock clock) {
        Role role = Role.UNKNOWN;
        Duration position = null;
        double held = Double.NaN;
        double waiting = Double.NaN;
        double busy = Double.NaN;
        for (Map.Entry<String, Double> e : Gauges.parse(gauges).entrySet()) {
            double v = e.getValue();
            switch (RouterSettings.gaugeName(e.getKey())) {
                case "position" -> position = clock.past(v * 1000);
                case "primary" -> role = v == 1 ? Role.PRIMARY : Role.REPLICA;
                case "held" -> held = v;
                case "waiting" -> waiting = v;
                case "busy" -> busy = v;
                default -> {
                    // a figure that the module has no use for
                }
            }
        }
        return new Report(role, position, held, waiting, busy);
    }
}
