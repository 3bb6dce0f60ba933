package wingroad.simhost;

import com.fasterxml.jackson.core.JsonGenerator;

import wingroad.protocol.Json;
import wingroad.routing.Decision;
import wingroad.routing.Router;
import wingroad.routing.TxnRouter;
import wingroad.state.Member;
import wingroad.state.Submission;
import wingroad.terms.RouterSettings;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * One simulated driver. Translates the simulator's events into calls of its {@link Router}, and the
 * router's decisions and log lines into actions; the simulator has at most one wake-up of it armed.
 */
final class DriverInstance {
    private static final int RETRY_MARK = 2;

    /** A position and role in one number: the lowest bits are the role's code. */
    private static final int ROLE_BITS = 2;

    private static final long ROLE_MASK = 3;
    private static final int PRIMARY_CODE = 1;
    private static final int REPLICA_CODE = 2;

    /** The simulator's time at the start of this instance, in milliseconds. */
    private final double startWallMs;

    /** The simulator's time from which positions count, in milliseconds. */
    private final double positionZeroWallMs;

    /** Names of the gauges in members' reports, in the order of their values. */
    private final List<?> gaugeNames;

    private final Router router;

    /** The reply that is being written; log lines become part of it. */
    private JsonGenerator log;

    /** When the armed wake-up is due, or null. */
    private Duration armedWakeUpAt;

    /** Token of the last armed wake-up; earlier ones are ignored. */
    private long wakeUpNumber;

    DriverInstance(double wallMs, long seed, Map<String, Object> profile, JsonGenerator output) {
        this.startWallMs = wallMs;
        Object family = profile.get("family-info");
        this.positionZeroWallMs =
                family instanceof Map<?, ?> m && m.get("zero") instanceof Number n
                        ? n.doubleValue()
                        : 0;
        Object report = profile.get("report");
        this.gaugeNames =
                report instanceof Map<?, ?> m && m.get("names") instanceof List<?> names
                        ? names
                        : List.of();
        this.log = output;
        this.router = new TxnRouter(RouterSettings.fromWire(profile), seed, this::writeLog);
    }

    /** Converts the simulator's time to the time since the start of this instance. */
    private Duration sinceStart(double wallMs) {
        return Json.durationOfMillis(wallMs - startWallMs);
    }

    /** Converts a time since the start of this instance to the simulator's time. */
    private double toWallMs(Duration at) {
        return Json.toMillis(at.plusNanos(Math.round(startWallMs * 1000) * 1000));
    }

    /** Passes one event to the router; events of unknown names are ignored. */
    void handleEvent(
            double wallMs,
            String eventName,
            Map<String, Object> event,
            Map<Long, List<?>> memberLists,
            JsonGenerator output)
            throws IOException {
        log = output;
        Duration now = sinceStart(wallMs);
        try {
            switch (eventName) {
                case "view" -> handleMemberList(now, event, memberLists);
                case "new-request" ->
                        router.txnArrived(
                                now,
                                Json.string(event, "op-id"),
                                Json.number(event, "band", 0).intValue(),
                                Json.number(event, "shard", 0).intValue(),
                                Json.durationOfMillis(Json.number(event, "ttl")),
                                Json.number(event, "user", -1).longValue(),
                                sinceLastWrite(event),
                                (Json.number(event, "marks", 0).intValue() & RETRY_MARK) != 0,
                                Duration.ZERO);
                case "result" -> handleResult(now, event);
                case "status-back" -> {
                    long memberId = Json.number(event, "member").longValue();
                    handleReport(now, memberId, event);
                    // A member that rejects a probe as one too many is running: many drivers may
                    // probe it at once.
                    boolean running =
                            "ok".equals(event.get("state-code"))
                                    || "full".equals(event.get("state-code"));
                    router.probeEnded(now, memberId, running, duration(event));
                }
                case "lapsed" -> router.txnAbandoned(now, Json.string(event, "op-id"));
                case "fired" -> {
                    if (Long.toString(wakeUpNumber).equals(event.get("token"))) {
                        armedWakeUpAt = null;
                    }
                }
                default -> {
                    // an event of a newer protocol version
                }
            }
        } catch (Json.MalformedJsonException malformed) {
            throw malformed;
        } catch (RuntimeException exception) {
            writeCrash(output, exception);
        }
    }

    private static Duration sinceLastWrite(Map<String, Object> event) {
        double ageMs = Json.number(event, "token-age-ms", 0).doubleValue();
        return ageMs > 0 ? Json.durationOfMillis(ageMs) : null;
    }

    private static Duration duration(Map<String, Object> event) {
        return Json.durationOfMillis(Json.number(event, "duration", 0));
    }

    private void handleMemberList(
            Duration now, Map<String, Object> event, Map<Long, List<?>> memberLists) {
        String kind = Json.string(event, "kind");
        if (kind.equals("broken")) {
            router.memberListFailed(now);
            return;
        }
        List<?> entries = memberLists.get(Json.number(event, "buffer").longValue());
        if (entries == null) {
            throw new Json.MalformedJsonException("unknown member list number");
        }
        router.memberListStarted(now, !kind.equals("patch"));
        for (Object element : entries) {
            Map<String, Object> entry = Json.object(element, "a list entry");
            double launchedWallMs = Json.number(entry, "launched", 0).doubleValue();
            String readiness = entry.get("readiness") instanceof String s ? s : "in_service";
            router.memberListed(
                    now,
                    Json.number(entry, "member").longValue(),
                    Json.number(entry, "group", 0).intValue(),
                    Json.number(entry, "site", 0).intValue(),
                    Json.number(entry, "class-of-host", 0).intValue(),
                    Json.number(entry, "heft", 1).doubleValue(),
                    Json.number(entry, "head", 0).doubleValue() == 1,
                    readiness.equals("terminating"),
                    readiness.equals("terminated"),
                    launchedWallMs > 0 ? sinceStart(launchedWallMs) : null);
        }
        router.memberListEnded(now);
    }

    private void handleResult(Duration now, Map<String, Object> event) {
        long memberId = Json.number(event, "member").longValue();
        handleReport(now, memberId, event);
        Submission.Outcome outcome =
                switch (Json.string(event, "state-code")) {
                    case "ok" -> Submission.Outcome.COMMITTED;
                    case "full" -> Submission.Outcome.FULL;
                    case "timeout" -> Submission.Outcome.TIMED_OUT;
                    case "connect_failed" -> Submission.Outcome.UNREACHABLE;
                    case "reset" -> Submission.Outcome.RESET;
                    case "cancelled" -> Submission.Outcome.CANCELLED;
                    case "moot" -> Submission.Outcome.MOOT;
                    case "miss" -> Submission.Outcome.MISSED;
                    default -> Submission.Outcome.ERROR;
                };
        long positionAndRole = Json.number(event, "stand", 0).longValue();
        Duration position =
                positionAndRole >> ROLE_BITS == 0
                        ? null
                        : sinceStart(positionZeroWallMs + (positionAndRole >> ROLE_BITS));
        router.submissionEnded(
                now,
                Json.string(event, "op-id"),
                Json.number(event, "round-no", 0).intValue(),
                memberId,
                outcome,
                duration(event),
                Boolean.TRUE.equals(event.get("terminal")),
                role((int) (positionAndRole & ROLE_MASK)),
                position);
    }

    private static Member.Role role(int code) {
        return code == PRIMARY_CODE
                ? Member.Role.PRIMARY
                : code == REPLICA_CODE ? Member.Role.REPLICA : Member.Role.UNKNOWN;
    }

    private void handleReport(Duration now, long memberId, Map<String, Object> event) {
        if (!(event.get("metrics") instanceof List<?> gauges) || gauges.isEmpty()) {
            return;
        }
        Member.Role role = Member.Role.UNKNOWN;
        Duration position = null;
        double activeCount = Double.NaN;
        double queueLength = Double.NaN;
        double utilization = Double.NaN;
        for (int i = 0; i < gauges.size() && i < gaugeNames.size(); i++) {
            if (!(gauges.get(i) instanceof Number n)) {
                continue;
            }
            double value = n.doubleValue();
            switch (RouterSettings.gaugeName(String.valueOf(gaugeNames.get(i)))) {
                case "position" -> position = sinceStart(positionZeroWallMs + value * 1000);
                case "primary" -> role = value == 1 ? Member.Role.PRIMARY : Member.Role.REPLICA;
                case "held" -> activeCount = value;
                case "waiting" -> queueLength = value;
                case "busy" -> utilization = value;
                default -> {
                    // a gauge that the router does not use
                }
            }
        }
        router.memberReported(now, memberId, role, position, activeCount, queueLength, utilization);
    }

    /** Writes all pending decisions and arms the next wake-up. */
    void writeDecisions(double wallMs, JsonGenerator output) throws IOException {
        log = output;
        Duration now = sinceStart(wallMs);
        try {
            for (Decision decision = router.nextDecision(now);
                    decision != null;
                    decision = router.nextDecision(now)) {
                writeDecision(output, decision);
            }
            Duration wakeUpAt = router.wakeAt();
            if (wakeUpAt != null
                    && (armedWakeUpAt == null || wakeUpAt.compareTo(armedWakeUpAt) < 0)) {
                armedWakeUpAt = wakeUpAt;
                wakeUpNumber++;
                Duration delay = wakeUpAt.minus(now);
                output.writeStartObject();
                output.writeStringField("msg", "arm");
                output.writeNumberField("wait", delay.isNegative() ? 0.0 : Json.toMillis(delay));
                output.writeStringField("token", Long.toString(wakeUpNumber));
                output.writeEndObject();
            }
        } catch (RuntimeException exception) {
            writeCrash(output, exception);
        }
    }

    private void writeDecision(JsonGenerator output, Decision decision) throws IOException {
        output.writeStartObject();
        switch (decision.kind()) {
            case SUBMIT -> {
                output.writeStringField("msg", "submit-to");
                output.writeStringField("op-id", decision.txn());
                output.writeNumberField("member", decision.member());
                if (decision.deadlineOrRetryDelay() != null) {
                    output.writeNumberField("until", toWallMs(decision.deadlineOrRetryDelay()));
                }
            }
            case DECLINE -> {
                output.writeStringField("msg", "refuse");
                output.writeStringField("op-id", decision.txn());
                if (decision.deadlineOrRetryDelay() != null) {
                    output.writeNumberField(
                            "come-back", Json.toMillis(decision.deadlineOrRetryDelay()));
                }
            }
            case ROLL_BACK -> {
                output.writeStringField("msg", "fail");
                output.writeStringField("op-id", decision.txn());
            }
            case CANCEL -> {
                output.writeStringField("msg", "cancel");
                output.writeStringField("op-id", decision.txn());
                output.writeNumberField("round-no", decision.submission());
            }
            case PROBE -> {
                output.writeStringField("msg", "sample");
                output.writeNumberField("member", decision.member());
            }
            case RELEASE -> {
                output.writeStringField("msg", "free-links");
                output.writeNumberField("member", decision.member());
            }
            case FOLLOW_LIST -> {
                output.writeStringField("msg", "tail");
                output.writeBooleanField("enable", true);
            }
            case FETCH_LIST -> output.writeStringField("msg", "query-all");
            default -> throw new IllegalStateException("no action for decision " + decision.kind());
        }
        output.writeEndObject();
    }

    private void writeLog(String line) {
        try {
            log.writeStartObject();
            log.writeStringField("msg", "write-log");
            log.writeStringField("reason-text", line);
            log.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reports an unexpected exception to the simulator. */
    static void writeCrash(JsonGenerator output, RuntimeException exception) throws IOException {
        StackTraceElement[] stackTrace = exception.getStackTrace();
        output.writeStartObject();
        output.writeStringField("msg", "crash");
        output.writeStringField(
                "reason-text",
                exception.getClass().getSimpleName()
                        + ": "
                        + exception.getMessage()
                        + (stackTrace.length > 0
                                ? " at "
                                        + stackTrace[0].getFileName()
                                        + ":"
                                        + stackTrace[0].getLineNumber()
                                : ""));
        output.writeEndObject();
    }
}
