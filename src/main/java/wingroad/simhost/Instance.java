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
final class Instance {
    private final double startWall;
    private final double zero;
    private final List<?> reportNames;
    private final Router router;

    /** Where log lines go: the reply being written. */
    private JsonGenerator log;

    private Duration armed;
    private long armedNumber;

    Instance(double wall, long seed, Map<String, Object> profile, JsonGenerator steps) {
        this.startWall = wall;
        Object family = profile.get("family-info");
        this.zero =
                family instanceof Map<?, ?> m && m.get("zero") instanceof Number n
                        ? n.doubleValue()
                        : 0;
        Object report = profile.get("report");
        this.reportNames =
                report instanceof Map<?, ?> m && m.get("names") instanceof List<?> names
                        ? names
                        : List.of();
        this.log = steps;
        this.router = new TxnRouter(RouterSettings.fromWire(profile), seed, this::writeLog);
    }

    private Duration sinceStart(double wall) {
        return Json.span(wall - startWall);
    }

    private double wall(Duration at) {
        return Json.ms(at.plusNanos(Math.round(startWall * 1000) * 1000));
    }

    void take(
            double wall,
            String name,
            Map<String, Object> event,
            Map<Long, List<?>> lists,
            JsonGenerator steps)
            throws IOException {
        log = steps;
        Duration now = sinceStart(wall);
        try {
            switch (name) {
                case "view" -> view(now, event, lists);
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
                case "result" -> result(now, event);
                case "status-back" -> {
                    long member = Json.number(event, "member").longValue();
                    report(now, member, event);
                    // One that takes no further probe lives: many drivers may ask it at once.
                    boolean lives =
                            "ok".equals(event.get("state-code"))
                                    || "full".equals(event.get("state-code"));
                    router.probeEnded(now, member, lives, took(event));
                }
                case "lapsed" -> router.txnAbandoned(now, Json.text(event, "op-id"));
                case "fired" -> {
                    if (Long.toString(armedNumber).equals(event.get("token"))) {
                        armed = null;
                    }
                }
                default -> {
                    // an event of a later wire: not ours
                }
            }
        } catch (Json.Malformed bad) {
            throw bad;
        } catch (RuntimeException bug) {
            crash(steps, bug);
        }
    }

    private static Duration sinceWrite(Map<String, Object> event) {
        double ms = Json.number(event, "token-age-ms", 0).doubleValue();
        return ms > 0 ? Json.span(ms) : null;
    }

    private static Duration took(Map<String, Object> event) {
        return Json.span(Json.number(event, "duration", 0));
    }

    private void view(Duration now, Map<String, Object> event, Map<Long, List<?>> lists) {
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

    private void result(Duration now, Map<String, Object> event) {
        long member = Json.number(event, "member").longValue();
        report(now, member, event);
        Submission.Outcome end =
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
        Duration position = stand >> 2 == 0 ? null : sinceStart(zero + (stand >> 2));
        router.submissionEnded(
                now,
                Json.text(event, "op-id"),
                Json.number(event, "round-no", 0).intValue(),
                member,
                end,
                took(event),
                Boolean.TRUE.equals(event.get("terminal")),
                role((int) (stand & 3)),
                position);
    }

    private static Member.Role role(int number) {
        return number == 1
                ? Member.Role.PRIMARY
                : number == 2 ? Member.Role.REPLICA : Member.Role.UNKNOWN;
    }

    private void report(Duration now, long member, Map<String, Object> event) {
        if (!(event.get("metrics") instanceof List<?> figures) || figures.isEmpty()) {
            return;
        }
        Member.Role role = Member.Role.UNKNOWN;
        Duration position = null;
        double held = Double.NaN;
        double waiting = Double.NaN;
        double busy = Double.NaN;
        for (int i = 0; i < figures.size() && i < reportNames.size(); i++) {
            if (!(figures.get(i) instanceof Number n)) {
                continue;
            }
            double v = n.doubleValue();
            switch (RouterSettings.gaugeName(String.valueOf(reportNames.get(i)))) {
                case "position" -> position = sinceStart(zero + v * 1000);
                case "primary" -> role = v == 1 ? Member.Role.PRIMARY : Member.Role.REPLICA;
                case "held" -> held = v;
                case "waiting" -> waiting = v;
                case "busy" -> busy = v;
                default -> {
                    // a figure that the module has no use for
                }
            }
        }
        router.memberReported(now, member, role, position, held, waiting, busy);
    }

    /** Pulls the decisions until there is none and keeps the next wake-up armed. */
    void decide(double wall, JsonGenerator steps) throws IOException {
        log = steps;
        Duration now = sinceStart(wall);
        try {
            for (Decision d = router.nextDecision(now); d != null; d = router.nextDecision(now)) {
                write(steps, d);
            }
            Duration wake = router.wakeAt();
            if (wake != null && (armed == null || wake.compareTo(armed) < 0)) {
                armed = wake;
                armedNumber++;
                Duration wait = wake.minus(now);
                steps.writeStartObject();
                steps.writeStringField("msg", "arm");
                steps.writeNumberField("wait", wait.isNegative() ? 0.0 : Json.ms(wait));
                steps.writeStringField("token", Long.toString(armedNumber));
                steps.writeEndObject();
            }
        } catch (RuntimeException bug) {
            crash(steps, bug);
        }
    }

    private void write(JsonGenerator steps, Decision d) throws IOException {
        steps.writeStartObject();
        switch (d.kind()) {
            case SUBMIT -> {
                steps.writeStringField("msg", "submit-to");
                steps.writeStringField("op-id", d.txn());
                steps.writeNumberField("member", d.member());
                if (d.deadlineOrRetryDelay() != null) {
                    steps.writeNumberField("until", wall(d.deadlineOrRetryDelay()));
                }
            }
            case DECLINE -> {
                steps.writeStringField("msg", "refuse");
                steps.writeStringField("op-id", d.txn());
                if (d.deadlineOrRetryDelay() != null) {
                    steps.writeNumberField("come-back", Json.ms(d.deadlineOrRetryDelay()));
                }
            }
            case ROLL_BACK -> {
                steps.writeStringField("msg", "fail");
                steps.writeStringField("op-id", d.txn());
            }
            case CANCEL -> {
                steps.writeStringField("msg", "cancel");
                steps.writeStringField("op-id", d.txn());
                steps.writeNumberField("round-no", d.submission());
            }
            case PROBE -> {
                steps.writeStringField("msg", "sample");
                steps.writeNumberField("member", d.member());
            }
            case RELEASE -> {
                steps.writeStringField("msg", "free-links");
                steps.writeNumberField("member", d.member());
            }
            case FOLLOW_LIST -> {
                steps.writeStringField("msg", "tail");
                steps.writeBooleanField("enable", true);
            }
            case FETCH_LIST -> steps.writeStringField("msg", "query-all");
            default -> throw new IllegalStateException("no words for " + d.kind());
        }
        steps.writeEndObject();
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

    static void crash(JsonGenerator steps, RuntimeException bug) throws IOException {
        StackTraceElement[] at = bug.getStackTrace();
        steps.writeStartObject();
        steps.writeStringField("msg", "crash");
        steps.writeStringField(
                "reason-text",
                bug.getClass().getSimpleName()
                        + ": "
                        + bug.getMessage()
                        + (at.length > 0
                                ? " at " + at[0].getFileName() + ":" + at[0].getLineNumber()
                                : ""));
        steps.writeEndObject();
    }
}
