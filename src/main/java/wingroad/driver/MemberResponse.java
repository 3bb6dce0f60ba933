package wingroad.driver;

import java.time.Duration;
import java.util.Map;
import wingroad.driver.TxnDispatcher.MemberReport;
import wingroad.driver.TxnDispatcher.MemberStatus;
import wingroad.protocol.Gauges;
import wingroad.protocol.MemberInput;
import wingroad.state.Member.Role;
import wingroad.state.Submission.End;
import wingroad.terms.Terms;

/** What a member answered, in the module's words. */
final class MemberResponse {
    static final String SQLSTATE_TOO_MANY_CONNECTIONS = "53300";

    /** One that can't be made use of, and may have run. */
    static final MemberResponse UNREADABLE = new MemberResponse(End.ERROR);

    final End end;
    final MemberStatus status;

    /** The row's messages, where there is one. */
    final byte[] row;

    /** The member's report, where the row itself is one. */
    final MemberReport probeReport;

    private MemberResponse(End end) {
        this.end = end;
        status = MemberStatus.UNKNOWN;
        row = null;
        probeReport = null;
    }

    MemberResponse(MemberInput input, Clock clock, boolean probe) {
        end = end(input);
        Double position = Gauges.number(input.parameter("caught_up_to"));
        String gauges = input.parameter("gauges");
        status =
                new MemberStatus(
                        role(input.parameter("part")),
                        position == null ? null : clock.pastFromUnixMs(position),
                        gauges == null ? null : report(gauges, clock));
        row = input.served() && !probe ? input.row() : null;
        probeReport =
                input.served() && probe && input.value() != null
                        ? report(input.value(), clock)
                        : null;
    }

    private static End end(MemberInput input) {
        if (input.served()) {
            return End.COMMITTED;
        }
        String code = input.error() == null ? "" : input.error();
        return switch (code) {
            case "25006", "72000" -> End.MISSED;
            case SQLSTATE_TOO_MANY_CONNECTIONS -> End.FULL;
            default -> End.ERROR;
        };
    }

    private static Role role(String part) {
        return "master".equals(part)
                ? Role.PRIMARY
                : "replica".equals(part) ? Role.REPLICA : Role.UNKNOWN;
    }

    static MemberReport report(String gauges, Clock clock) {
        Role role = Role.UNKNOWN;
        Duration position = null;
        double held = Double.NaN;
        double waiting = Double.NaN;
        double busy = Double.NaN;
        for (Map.Entry<String, Double> gauge : Gauges.parse(gauges).entrySet()) {
            double value = gauge.getValue();
            switch (Terms.figure(gauge.getKey())) {
                case "position" -> position = clock.pastFromUnixMs(value * 1000);
                case "primary" -> role = value == 1 ? Role.PRIMARY : Role.REPLICA;
                case "held" -> held = value;
                case "waiting" -> waiting = value;
                case "busy" -> busy = value;
                default -> {
                    // a figure that the module has no use for
                }
            }
        }
        return new MemberReport(role, position, held, waiting, busy);
    }
}
