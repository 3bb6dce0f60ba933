package wingroad.driver;

import wingroad.driver.TxnDispatcher.MemberReport;
import wingroad.driver.TxnDispatcher.MemberStatus;
import wingroad.protocol.Gauges;
import wingroad.protocol.MemberResponseDecoder;
import wingroad.state.Member.Role;
import wingroad.state.Submission.Outcome;
import wingroad.terms.RouterSettings;

import java.time.Duration;
import java.util.Map;

/** A member's response to a request, in the router's terms. */
final class MemberResponse {
    static final String SQLSTATE_TOO_MANY_CONNECTIONS = "53300";
    private static final String SQLSTATE_READ_ONLY_TRANSACTION = "25006";
    private static final String SQLSTATE_SNAPSHOT_TOO_OLD = "72000";

    /** Stands for a response that could not be processed; its statement may have run. */
    static final MemberResponse UNREADABLE = new MemberResponse(Outcome.ERROR);

    final Outcome outcome;
    final MemberStatus status;

    /** The messages that carry the row, or null if there is none. */
    final byte[] row;

    /** The gauges that a probe returned as its row, or null. */
    final MemberReport probeReport;

    private MemberResponse(Outcome outcome) {
        this.outcome = outcome;
        status = MemberStatus.UNKNOWN;
        row = null;
        probeReport = null;
    }

    MemberResponse(MemberResponseDecoder input, Clock clock, boolean probe) {
        outcome = outcome(input);
        Double position = Gauges.parseNumber(input.parameter("caught_up_to"));
        String gauges = input.parameter("gauges");
        status =
                new MemberStatus(
                        role(input.parameter("part")),
                        position == null ? null : clock.pastFromUnixMs(position),
                        gauges == null ? null : report(gauges, clock));
        row = input.rowComplete() && !probe ? input.rowMessages() : null;
        probeReport =
                input.rowComplete() && probe && input.value() != null
                        ? report(input.value(), clock)
                        : null;
    }

    private static Outcome outcome(MemberResponseDecoder input) {
        if (input.rowComplete()) {
            return Outcome.COMMITTED;
        }
        String code = input.errorSqlState() == null ? "" : input.errorSqlState();
        return switch (code) {
            case SQLSTATE_READ_ONLY_TRANSACTION, SQLSTATE_SNAPSHOT_TOO_OLD -> Outcome.MISSED;
            case SQLSTATE_TOO_MANY_CONNECTIONS -> Outcome.FULL;
            default -> Outcome.ERROR;
        };
    }

    private static Role role(String part) {
        return "master".equals(part)
                ? Role.PRIMARY
                : "replica".equals(part) ? Role.REPLICA : Role.UNKNOWN;
    }

    /** Parses gauges of the form {@code name=number,...}. */
    static MemberReport report(String gauges, Clock clock) {
        Role role = Role.UNKNOWN;
        Duration position = null;
        double inFlight = Double.NaN;
        double queueLength = Double.NaN;
        double utilization = Double.NaN;
        for (Map.Entry<String, Double> gauge : Gauges.parse(gauges).entrySet()) {
            double value = gauge.getValue();
            switch (RouterSettings.gaugeName(gauge.getKey())) {
                case "position" -> position = clock.pastFromUnixMs(value * 1000);
                case "primary" -> role = value == 1 ? Role.PRIMARY : Role.REPLICA;
                case "held" -> inFlight = value;
                case "waiting" -> queueLength = value;
                case "busy" -> utilization = value;
                default -> {
                    // a gauge that the router does not use
                }
            }
        }
        return new MemberReport(role, position, inFlight, queueLength, utilization);
    }
}
