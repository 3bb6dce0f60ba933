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
 * One driver on the wire: its module, its clock's start, and the one wake-up that it keeps armed.
 */
final class DriverInstance {
    private final double startWallMs;
    private final double positionZeroWallMs;
    private final List<?> gaugeNames;
    private final Router router;

    /** Where log lines go: the reply being written. */
    private JsonGenerator log;

    private Duration armedWakeUpAt;
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

    private Duration sinceStart(double wallMs) {
        return Json.span(wallMs - startWallMs);
    }

    private double toWallMs(Duration at) {
        return Json.ms(at.plusNanos(Math.round(startWallMs * 1000) * 1000));
    }

    void handleEvent(
            double wallMs,
            String name,
            Map<String, Object> event,
            Map<Long, List<?>> lists,
            JsonGenerator output)
            throws IOException {
        log = output;
        Duration now = sinceStart(wallMs);
        try {
            switch (name) {
                case "view" -> handleMemberList(now, event, lists);
                case "new-request" ->
                        router.txnArrived(
                                now,
                                Json.text(event, "op-id"),
                                Json.number(event, "band", 0).intValue(),
                                Json.number(event, "shard", 0).intValue(),
                                Json.span(Json.number(event, "ttl")),
                                Json.number(event, "user", -1).longValue(),
                                sinceWrite(event),
                                (Json.number(event, "marks", 0).intValue() & 2) != 0,
                                Duration.ZERO);
                case "result" -> handleResult(now, event);
                case "status-back" -> {
                    long member = Json.number(event, "member").longValue();
                    handleReport(now, member, event);
                    // One that takes no further probe lives: many drivers may ask it at once.
                    boolean lives =
                            "ok".equals(event.get("state-code"))
                                    || "full".equals(event.get("state-code"));
                    router.probeEnded(now, member, lives, duration(event));
                }
                case "lapsed" -> router.txnAbandoned(now, Json.text(event, "op-id"));
                case "fired" -> {
                    if (Long.toString(wakeUpNumber).equals(event.get("token"))) {
                        armedWakeUpAt = null;
                    }
                }
                default -> {
                    // an event of a later wire: not ours
                }
            }
        } catch (Json.Malformed malformed) {
            throw malformed;
        } catch (RuntimeException exception) {
            writeCrash(output, exception);
        }
    }

    private static Duration sinceWrite(Map<String, Object> event) {
        double ms = Json.number(event, "token-age-ms", 0).doubleValue();
        return ms > 0 ? Json.span(ms) : null;
    }

    private static Duration duration(Map<String, Object> event) {
        return Json.span(Json.number(event, "duration", 0));
    }

    private void handleMemberList(
            Duration now, Map<String, Object> event, Map<Long, List<?>> lists) {
        String kind = Json.text(event, "kind");
        if (kind.equals("broken")) {
            router.memberListFailed(now);
            return;
        }
        List<?> entries = lists.get(Json.number(event, "buffer").longValue());
        if (entries == null) {
            throw new Json.Malformed("no list of that number");
        }
        router.memberListStarted(now, !kind.equals("patch"));
        for (Object e : entries) {
            Map<String, Object> entry = Json.object(e, "a list entry");
            double launched = Json.number(entry, "launched", 0).doubleValue();
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
                    launched > 0 ? sinceStart(launched) : null);
        }
        router.memberListEnded(now);
    }

    private void handleResult(Duration now, Map<String, Object> event) {
        long member = Json.number(event, "member").longValue();
        handleReport(now, member, event);
        Submission.Outcome outcome =
                switch (Json.text(event, "state-code")) {
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
        long stand = Json.number(event, "stand", 0).longValue();
        Duration position = stand >> 2 == 0 ? null : sinceStart(positionZeroWallMs + (stand >> 2));
        router.submissionEnded(
                now,
                Json.text(event, "op-id"),
                Json.number(event, "round-no", 0).intValue(),
                member,
                outcome,
                duration(event),
                Boolean.TRUE.equals(event.get("terminal")),
                role((int) (stand & 3)),
                position);
    }

    private static Member.Role role(int number) {
        return number == 1
                ? Member.Role.PRIMARY
                : number == 2 ? Member.Role.REPLICA : Member.Role.UNKNOWN;
    }

    private void handleReport(Duration now, long member, Map<String, Object> event) {
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
                    // a figure that the module has no use for
                }
            }
        }
        router.memberReported(now, member, role, position, activeCount, queueLength, utilization);
    }

    /** Pulls the decisions until there is none and keeps the next wake-up armed. */
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
                output.writeNumberField("wait", delay.isNegative() ? 0.0 : Json.ms(delay));
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
                    output.writeNumberField("come-back", Json.ms(decision.deadlineOrRetryDelay()));
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
            default -> throw new IllegalStateException("no words for " + decision.kind());
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
