package wingroad.fleet;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;

import wingroad.duty.Command;
import wingroad.protocol.Json;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The consensus engine's models and our own ops as plain values, for the wire and the disk. */
final class MessageCodec {
    static final RaftModelFactory MODELS = new DefaultRaftModelFactory();

    private MessageCodec() {}

    /** A voter in the engine's eyes: "name/identity". */
    record Endpoint(String id) implements RaftEndpoint {
        @Override
        public Object getId() {
            return id;
        }

        String name() {
            return id.substring(0, id.indexOf('/'));
        }

        String identity() {
            return id.substring(id.indexOf('/') + 1);
        }

        static Endpoint of(String id) {
            if (id.indexOf('/') <= 0) {
                throw new Json.Malformed("no voter: " + id);
            }
            return new Endpoint(id);
        }
    }

    static Map<String, Object> message(String kind, Object... fields) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("k", kind);
        for (int i = 0; i < fields.length; i += 2) {
            m.put((String) fields[i], fields[i + 1]);
        }
        return m;
    }

    static String text(Map<String, Object> m, String name) {
        return m.get(name) instanceof String s ? s : "";
    }

    static long number(Map<String, Object> m, String name) {
        return m.get(name) instanceof Number n ? n.longValue() : 0;
    }

    static List<String> texts(Object list) {
        List<String> all = new ArrayList<>();
        if (list instanceof List<?> l) {
            l.forEach(o -> all.add(String.valueOf(o)));
        }
        return all;
    }

    // ---- ops ----

    static Map<String, Object> of(Command op) {
        Map<String, Object> m = message(op.kind().name());
        put(m, "by", op.sessionId());
        put(m, "duty", op.subject());
        put(m, "to", op.argument());
        put(m, "ask", op.requestId());
        putNumber(m, "epoch", op.epoch());
        putNumber(m, "n", op.number());
        putNumber(m, "wall", op.proposedAtMs());
        if (!op.items().isEmpty()) {
            m.put("duties", op.items());
        }
        if (!op.heartbeats().isEmpty()) {
            m.put("beats", op.heartbeats());
        }
        return m;
    }

    private static void put(Map<String, Object> m, String name, String value) {
        if (!value.isEmpty()) {
            m.put(name, value);
        }
    }

    private static void putNumber(Map<String, Object> m, String name, long value) {
        if (value != 0) {
            m.put(name, value);
        }
    }

    static Command op(Map<String, Object> m) {
        Command.Kind kind;
        try {
            kind = Command.Kind.valueOf(text(m, "k"));
        } catch (IllegalArgumentException e) {
            throw new Json.Malformed("no op: " + m.get("k"));
        }
        return new Command(
                kind,
                text(m, "by"),
                text(m, "duty"),
                number(m, "epoch"),
                number(m, "n"),
                text(m, "to"),
                texts(m.get("duties")),
                beats(m.get("beats")),
                text(m, "ask"),
                number(m, "wall"));
    }

    static Map<String, Long> beats(Object of) {
        Map<String, Long> beats = new java.util.TreeMap<>();
        if (of instanceof Map<?, ?> m) {
            m.forEach((s, n) -> beats.put((String) s, ((Number) n).longValue()));
        }
        return beats;
    }

    // ---- the log ----

    static List<String> ids(Collection<RaftEndpoint> endpoints) {
        return endpoints.stream().map(e -> (String) e.getId()).toList();
    }

    static Set<RaftEndpoint> endpoints(Object list) {
        Set<RaftEndpoint> all = new LinkedHashSet<>();
        texts(list).forEach(id -> all.add(Endpoint.of(id)));
        return all;
    }

    static Map<String, Object> of(RaftGroupMembersView v) {
        return message(
                "view",
                "i",
                v.getLogIndex(),
                "all",
                ids(v.getMembers()),
                "vote",
                ids(v.getVotingMembers()));
    }

    static RaftGroupMembersView view(Object of) {
        Map<String, Object> m = Json.object(of, "the voters");
        return MODELS.createRaftGroupMembersViewBuilder()
                .setLogIndex(number(m, "i"))
                .setMembers(endpoints(m.get("all")))
                .setVotingMembers(endpoints(m.get("vote")))
                .build();
    }

    private static Map<String, Object> ofOperation(Object operation) {
        if (operation instanceof Command op) {
            return of(op);
        }
        if (operation instanceof UpdateRaftGroupMembersOp u) {
            return message(
                    "members",
                    "all",
                    ids(u.getMembers()),
                    "vote",
                    ids(u.getVotingMembers()),
                    "e",
                    u.getEndpoint().getId(),
                    "mode",
                    u.getMode().name());
        }
        return message("whole", "v", operation);
    }

    private static Object operation(Object of) {
        Map<String, Object> m = Json.object(of, "an operation");
        return switch (text(m, "k")) {
            case "members" ->
                    MODELS.createUpdateRaftGroupMembersOpBuilder()
                            .setMembers(endpoints(m.get("all")))
                            .setVotingMembers(endpoints(m.get("vote")))
                            .setEndpoint(Endpoint.of(text(m, "e")))
                            .setMode(MembershipChangeMode.valueOf(text(m, "mode")))
                            .build();
            case "whole" -> m.get("v");
            default -> op(m);
        };
    }

    static Map<String, Object> of(LogEntry e) {
        return message(
                "entry", "i", e.getIndex(), "t", e.getTerm(), "op", ofOperation(e.getOperation()));
    }

    static LogEntry entry(Object of) {
        Map<String, Object> m = Json.object(of, "an entry");
        return MODELS.createLogEntryBuilder()
                .setIndex(number(m, "i"))
                .setTerm((int) number(m, "t"))
                .setOperation(operation(m.get("op")))
                .build();
    }

    static Map<String, Object> of(SnapshotChunk c) {
        return message(
                "chunk",
                "i",
                c.getIndex(),
                "t",
                c.getTerm(),
                "op",
                ofOperation(c.getOperation()),
                "c",
                c.getSnapshotChunkIndex(),
                "of",
                c.getSnapshotChunkCount(),
                "view",
                of(c.getGroupMembersView()));
    }

    static SnapshotChunk chunk(Object of) {
        Map<String, Object> m = Json.object(of, "a chunk");
        return MODELS.createSnapshotChunkBuilder()
                .setIndex(number(m, "i"))
                .setTerm((int) number(m, "t"))
                .setOperation(operation(m.get("op")))
                .setSnapshotChunkIndex((int) number(m, "c"))
                .setSnapshotChunkCount((int) number(m, "of"))
                .setGroupMembersView(view(m.get("view")))
                .build();
    }

    // ---- messages between voters ----

    static Map<String, Object> of(RaftMessage any) {
        Map<String, Object> m =
                message(
                        "",
                        "g",
                        any.getGroupId(),
                        "s",
                        any.getSender().getId(),
                        "t",
                        any.getTerm());
        if (any instanceof AppendEntriesRequest r) {
            return more(
                    m,
                    "append",
                    "pt",
                    r.getPreviousLogTerm(),
                    "pi",
                    r.getPreviousLogIndex(),
                    "ci",
                    r.getCommitIndex(),
                    "e",
                    r.getLogEntries().stream().map(MessageCodec::of).toList(),
                    "q",
                    r.getQuerySequenceNumber(),
                    "f",
                    r.getFlowControlSequenceNumber());
        } else if (any instanceof AppendEntriesSuccessResponse r) {
            return more(
                    m,
                    "appended",
                    "li",
                    r.getLastLogIndex(),
                    "q",
                    r.getQuerySequenceNumber(),
                    "f",
                    r.getFlowControlSequenceNumber());
        } else if (any instanceof AppendEntriesFailureResponse r) {
            return more(
                    m,
                    "not-appended",
                    "ni",
                    r.getExpectedNextIndex(),
                    "q",
                    r.getQuerySequenceNumber(),
                    "f",
                    r.getFlowControlSequenceNumber());
        } else if (any instanceof VoteRequest r) {
            return more(
                    m,
                    "vote",
                    "lt",
                    r.getLastLogTerm(),
                    "li",
                    r.getLastLogIndex(),
                    "sticky",
                    r.isSticky());
        } else if (any instanceof VoteResponse r) {
            return more(m, "voted", "yes", r.isGranted());
        } else if (any instanceof PreVoteRequest r) {
            return more(m, "would", "lt", r.getLastLogTerm(), "li", r.getLastLogIndex());
        } else if (any instanceof PreVoteResponse r) {
            return more(m, "would-vote", "yes", r.isGranted());
        } else if (any instanceof InstallSnapshotRequest r) {
            return more(
                    m,
                    "snapshot",
                    "leads",
                    r.isSenderLeader(),
                    "st",
                    r.getSnapshotTerm(),
                    "si",
                    r.getSnapshotIndex(),
                    "of",
                    r.getTotalSnapshotChunkCount(),
                    "chunk",
                    r.getSnapshotChunk() == null ? null : of(r.getSnapshotChunk()),
                    "from",
                    ids(r.getSnapshottedMembers()),
                    "view",
                    of(r.getGroupMembersView()),
                    "q",
                    r.getQuerySequenceNumber(),
                    "f",
                    r.getFlowControlSequenceNumber());
        } else if (any instanceof InstallSnapshotResponse r) {
            return more(
                    m,
                    "snapshot-got",
                    "si",
                    r.getSnapshotIndex(),
                    "c",
                    r.getRequestedSnapshotChunkIndex(),
                    "q",
                    r.getQuerySequenceNumber(),
                    "f",
                    r.getFlowControlSequenceNumber());
        } else if (any instanceof TriggerLeaderElectionRequest r) {
            return more(m, "lead", "lt", r.getLastLogTerm(), "li", r.getLastLogIndex());
        }
        throw new IllegalArgumentException("no form for " + any.getClass());
    }

    private static Map<String, Object> more(Map<String, Object> m, String kind, Object... fields) {
        m.putAll(message(kind, fields));
        return m;
    }

    static RaftMessage message(Map<String, Object> m) {
        Object g = m.get("g");
        Endpoint s = Endpoint.of(text(m, "s"));
        int t = (int) number(m, "t");
        long q = number(m, "q");
        long f = number(m, "f");
        int lt = (int) number(m, "lt");
        long li = number(m, "li");
        boolean yes = Boolean.TRUE.equals(m.get("yes"));
        return switch (text(m, "k")) {
            case "append" -> {
                List<LogEntry> entries = new ArrayList<>();
                Json.list(m, "e").forEach(e -> entries.add(entry(e)));
                yield MODELS.createAppendEntriesRequestBuilder()
                        .setGroupId(g)
                        .setSender(s)
                        .setTerm(t)
                        .setPreviousLogTerm((int) number(m, "pt"))
                        .setPreviousLogIndex(number(m, "pi"))
                        .setCommitIndex(number(m, "ci"))
                        .setLogEntries(entries)
                        .setQuerySequenceNumber(q)
                        .setFlowControlSequenceNumber(f)
                        .build();
            }
            case "appended" ->
                    MODELS.createAppendEntriesSuccessResponseBuilder()
                            .setGroupId(g)
                            .setSender(s)
                            .setTerm(t)
                            .setLastLogIndex(li)
                            .setQuerySequenceNumber(q)
                            .setFlowControlSequenceNumber(f)
                            .build();
            case "not-appended" ->
                    MODELS.createAppendEntriesFailureResponseBuilder()
                            .setGroupId(g)
                            .setSender(s)
                            .setTerm(t)
                            .setExpectedNextIndex(number(m, "ni"))
                            .setQuerySequenceNumber(q)
                            .setFlowControlSequenceNumber(f)
                            .build();
            case "vote" ->
                    MODELS.createVoteRequestBuilder()
                            .setGroupId(g)
                            .setSender(s)
                            .setTerm(t)
                            .setLastLogTerm(lt)
                            .setLastLogIndex(li)
                            .setSticky(Boolean.TRUE.equals(m.get("sticky")))
                            .build();
            case "voted" ->
                    MODELS.createVoteResponseBuilder()
                            .setGroupId(g)
                            .setSender(s)
                            .setTerm(t)
                            .setGranted(yes)
                            .build();
            case "would" ->
                    MODELS.createPreVoteRequestBuilder()
                            .setGroupId(g)
                            .setSender(s)
                            .setTerm(t)
                            .setLastLogTerm(lt)
                            .setLastLogIndex(li)
                            .build();
            case "would-vote" ->
                    MODELS.createPreVoteResponseBuilder()
                            .setGroupId(g)
                            .setSender(s)
                            .setTerm(t)
                            .setGranted(yes)
                            .build();
            case "snapshot" ->
                    MODELS.createInstallSnapshotRequestBuilder()
                            .setGroupId(g)
                            .setSender(s)
                            .setTerm(t)
                            .setSenderLeader(Boolean.TRUE.equals(m.get("leads")))
                            .setSnapshotTerm((int) number(m, "st"))
                            .setSnapshotIndex(number(m, "si"))
                            .setTotalSnapshotChunkCount((int) number(m, "of"))
                            .setSnapshotChunk(m.get("chunk") == null ? null : chunk(m.get("chunk")))
                            .setSnapshottedMembers(endpoints(m.get("from")))
                            .setGroupMembersView(view(m.get("view")))
                            .setQuerySequenceNumber(q)
                            .setFlowControlSequenceNumber(f)
                            .build();
            case "snapshot-got" ->
                    MODELS.createInstallSnapshotResponseBuilder()
                            .setGroupId(g)
                            .setSender(s)
                            .setTerm(t)
                            .setSnapshotIndex(number(m, "si"))
                            .setRequestedSnapshotChunkIndex((int) number(m, "c"))
                            .setQuerySequenceNumber(q)
                            .setFlowControlSequenceNumber(f)
                            .build();
            case "lead" ->
                    MODELS.createTriggerLeaderElectionRequestBuilder()
                            .setGroupId(g)
                            .setSender(s)
                            .setTerm(t)
                            .setLastLogTerm(lt)
                            .setLastLogIndex(li)
                            .build();
            default -> throw new Json.Malformed("no message: " + m.get("k"));
        };
    }

    static Map<String, Object> copy(Map<String, Object> m) {
        return new HashMap<>(m);
    }
}
