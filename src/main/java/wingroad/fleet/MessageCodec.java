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

/**
 * Converts the consensus engine's models and the duty state machine's commands to plain values and
 * back, for the wire and the disk.
 */
final class MessageCodec {
    static final RaftModelFactory MODEL_FACTORY = new DefaultRaftModelFactory();

    private MessageCodec() {}

    /** A voter's identity for the engine, "name/identity". */
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
                throw new Json.MalformedJsonException("no voter: " + id);
            }
            return new Endpoint(id);
        }
    }

    /** Builds a message of a kind from alternating keys and values. */
    static Map<String, Object> message(String kind, Object... fields) {
        Map<String, Object> message = new LinkedHashMap<>();
        message.put("k", kind);
        for (int i = 0; i < fields.length; i += 2) {
            message.put((String) fields[i], fields[i + 1]);
        }
        return message;
    }

    /** Returns the string under this key, or an empty one if there is none. */
    static String stringOrEmpty(Map<String, Object> message, String name) {
        return message.get(name) instanceof String s ? s : "";
    }

    /** Returns the number under this key, or 0 if there is none. */
    static long longOrZero(Map<String, Object> message, String name) {
        return message.get(name) instanceof Number n ? n.longValue() : 0;
    }

    /** Returns the elements as strings; an empty list if the value is not a list. */
    static List<String> stringList(Object list) {
        List<String> strings = new ArrayList<>();
        if (list instanceof List<?> values) {
            values.forEach(value -> strings.add(String.valueOf(value)));
        }
        return strings;
    }

    // ---- commands ----

    /** Encodes a command; empty and zero fields are left out. */
    static Map<String, Object> encode(Command command) {
        Map<String, Object> message = message(command.kind().name());
        putIfNotEmpty(message, "by", command.sessionId());
        putIfNotEmpty(message, "duty", command.subject());
        putIfNotEmpty(message, "to", command.argument());
        putIfNotEmpty(message, "ask", command.requestId());
        putIfNotZero(message, "epoch", command.epoch());
        putIfNotZero(message, "n", command.number());
        putIfNotZero(message, "wall", command.proposedAtMs());
        if (!command.items().isEmpty()) {
            message.put("duties", command.items());
        }
        if (!command.heartbeats().isEmpty()) {
            message.put("beats", command.heartbeats());
        }
        return message;
    }

    private static void putIfNotEmpty(Map<String, Object> message, String name, String value) {
        if (!value.isEmpty()) {
            message.put(name, value);
        }
    }

    private static void putIfNotZero(Map<String, Object> message, String name, long value) {
        if (value != 0) {
            message.put(name, value);
        }
    }

    static Command decodeCommand(Map<String, Object> message) {
        Command.Kind kind;
        try {
            kind = Command.Kind.valueOf(stringOrEmpty(message, "k"));
        } catch (IllegalArgumentException e) {
            throw new Json.MalformedJsonException("no op: " + message.get("k"));
        }
        return new Command(
                kind,
                stringOrEmpty(message, "by"),
                stringOrEmpty(message, "duty"),
                longOrZero(message, "epoch"),
                longOrZero(message, "n"),
                stringOrEmpty(message, "to"),
                stringList(message.get("duties")),
                decodeHeartbeats(message.get("beats")),
                stringOrEmpty(message, "ask"),
                longOrZero(message, "wall"));
    }

    /** Decodes heartbeat numbers by session id. */
    static Map<String, Long> decodeHeartbeats(Object value) {
        Map<String, Long> heartbeats = new java.util.TreeMap<>();
        if (value instanceof Map<?, ?> entries) {
            entries.forEach(
                    (sessionId, number) ->
                            heartbeats.put((String) sessionId, ((Number) number).longValue()));
        }
        return heartbeats;
    }

    // ---- log entries and snapshots ----

    static List<String> endpointIds(Collection<RaftEndpoint> endpoints) {
        return endpoints.stream().map(endpoint -> (String) endpoint.getId()).toList();
    }

    static Set<RaftEndpoint> decodeEndpoints(Object list) {
        Set<RaftEndpoint> endpoints = new LinkedHashSet<>();
        stringList(list).forEach(id -> endpoints.add(Endpoint.of(id)));
        return endpoints;
    }

    static Map<String, Object> encode(RaftGroupMembersView view) {
        return message(
                "view",
                "i",
                view.getLogIndex(),
                "all",
                endpointIds(view.getMembers()),
                "vote",
                endpointIds(view.getVotingMembers()));
    }

    static RaftGroupMembersView decodeMembersView(Object value) {
        Map<String, Object> message = Json.object(value, "the voters");
        return MODEL_FACTORY
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(longOrZero(message, "i"))
                .setMembers(decodeEndpoints(message.get("all")))
                .setVotingMembers(decodeEndpoints(message.get("vote")))
                .build();
    }

    private static Map<String, Object> encodeOperation(Object operation) {
        if (operation instanceof Command command) {
            return encode(command);
        }
        if (operation instanceof UpdateRaftGroupMembersOp update) {
            return message(
                    "members",
                    "all",
                    endpointIds(update.getMembers()),
                    "vote",
                    endpointIds(update.getVotingMembers()),
                    "e",
                    update.getEndpoint().getId(),
                    "mode",
                    update.getMode().name());
        }
        return message("whole", "v", operation);
    }

    private static Object decodeOperation(Object value) {
        Map<String, Object> message = Json.object(value, "an operation");
        return switch (stringOrEmpty(message, "k")) {
            case "members" ->
                    MODEL_FACTORY
                            .createUpdateRaftGroupMembersOpBuilder()
                            .setMembers(decodeEndpoints(message.get("all")))
                            .setVotingMembers(decodeEndpoints(message.get("vote")))
                            .setEndpoint(Endpoint.of(stringOrEmpty(message, "e")))
                            .setMode(MembershipChangeMode.valueOf(stringOrEmpty(message, "mode")))
                            .build();
            case "whole" -> message.get("v");
            default -> decodeCommand(message);
        };
    }

    static Map<String, Object> encode(LogEntry entry) {
        return message(
                "entry",
                "i",
                entry.getIndex(),
                "t",
                entry.getTerm(),
                "op",
                encodeOperation(entry.getOperation()));
    }

    static LogEntry decodeLogEntry(Object value) {
        Map<String, Object> message = Json.object(value, "an entry");
        return MODEL_FACTORY
                .createLogEntryBuilder()
                .setIndex(longOrZero(message, "i"))
                .setTerm((int) longOrZero(message, "t"))
                .setOperation(decodeOperation(message.get("op")))
                .build();
    }

    static Map<String, Object> encode(SnapshotChunk chunk) {
        return message(
                "chunk",
                "i",
                chunk.getIndex(),
                "t",
                chunk.getTerm(),
                "op",
                encodeOperation(chunk.getOperation()),
                "c",
                chunk.getSnapshotChunkIndex(),
                "of",
                chunk.getSnapshotChunkCount(),
                "view",
                encode(chunk.getGroupMembersView()));
    }

    static SnapshotChunk decodeSnapshotChunk(Object value) {
        Map<String, Object> message = Json.object(value, "a chunk");
        return MODEL_FACTORY
                .createSnapshotChunkBuilder()
                .setIndex(longOrZero(message, "i"))
                .setTerm((int) longOrZero(message, "t"))
                .setOperation(decodeOperation(message.get("op")))
                .setSnapshotChunkIndex((int) longOrZero(message, "c"))
                .setSnapshotChunkCount((int) longOrZero(message, "of"))
                .setGroupMembersView(decodeMembersView(message.get("view")))
                .build();
    }

    // ---- messages between voters ----

    static Map<String, Object> encode(RaftMessage raftMessage) {
        Map<String, Object> message =
                message(
                        "",
                        "g",
                        raftMessage.getGroupId(),
                        "s",
                        raftMessage.getSender().getId(),
                        "t",
                        raftMessage.getTerm());
        if (raftMessage instanceof AppendEntriesRequest request) {
            return addFields(
                    message,
                    "append",
                    "pt",
                    request.getPreviousLogTerm(),
                    "pi",
                    request.getPreviousLogIndex(),
                    "ci",
                    request.getCommitIndex(),
                    "e",
                    request.getLogEntries().stream().map(MessageCodec::encode).toList(),
                    "q",
                    request.getQuerySequenceNumber(),
                    "f",
                    request.getFlowControlSequenceNumber());
        } else if (raftMessage instanceof AppendEntriesSuccessResponse response) {
            return addFields(
                    message,
                    "appended",
                    "li",
                    response.getLastLogIndex(),
                    "q",
                    response.getQuerySequenceNumber(),
                    "f",
                    response.getFlowControlSequenceNumber());
        } else if (raftMessage instanceof AppendEntriesFailureResponse response) {
            return addFields(
                    message,
                    "not-appended",
                    "ni",
                    response.getExpectedNextIndex(),
                    "q",
                    response.getQuerySequenceNumber(),
                    "f",
                    response.getFlowControlSequenceNumber());
        } else if (raftMessage instanceof VoteRequest request) {
            return addFields(
                    message,
                    "vote",
                    "lt",
                    request.getLastLogTerm(),
                    "li",
                    request.getLastLogIndex(),
                    "sticky",
                    request.isSticky());
        } else if (raftMessage instanceof VoteResponse response) {
            return addFields(message, "voted", "yes", response.isGranted());
        } else if (raftMessage instanceof PreVoteRequest request) {
            return addFields(
                    message,
                    "would",
                    "lt",
                    request.getLastLogTerm(),
                    "li",
                    request.getLastLogIndex());
        } else if (raftMessage instanceof PreVoteResponse response) {
            return addFields(message, "would-vote", "yes", response.isGranted());
        } else if (raftMessage instanceof InstallSnapshotRequest request) {
            return addFields(
                    message,
                    "snapshot",
                    "leads",
                    request.isSenderLeader(),
                    "st",
                    request.getSnapshotTerm(),
                    "si",
                    request.getSnapshotIndex(),
                    "of",
                    request.getTotalSnapshotChunkCount(),
                    "chunk",
                    request.getSnapshotChunk() == null ? null : encode(request.getSnapshotChunk()),
                    "from",
                    endpointIds(request.getSnapshottedMembers()),
                    "view",
                    encode(request.getGroupMembersView()),
                    "q",
                    request.getQuerySequenceNumber(),
                    "f",
                    request.getFlowControlSequenceNumber());
        } else if (raftMessage instanceof InstallSnapshotResponse response) {
            return addFields(
                    message,
                    "snapshot-got",
                    "si",
                    response.getSnapshotIndex(),
                    "c",
                    response.getRequestedSnapshotChunkIndex(),
                    "q",
                    response.getQuerySequenceNumber(),
                    "f",
                    response.getFlowControlSequenceNumber());
        } else if (raftMessage instanceof TriggerLeaderElectionRequest request) {
            return addFields(
                    message,
                    "lead",
                    "lt",
                    request.getLastLogTerm(),
                    "li",
                    request.getLastLogIndex());
        }
        throw new IllegalArgumentException("cannot encode " + raftMessage.getClass());
    }

    private static Map<String, Object> addFields(
            Map<String, Object> message, String kind, Object... fields) {
        message.putAll(message(kind, fields));
        return message;
    }

    /**
     * Decodes a message between voters; throws {@link Json.MalformedJsonException} for an unknown
     * kind.
     */
    static RaftMessage decodeMessage(Map<String, Object> message) {
        Object groupId = message.get("g");
        Endpoint sender = Endpoint.of(stringOrEmpty(message, "s"));
        int term = (int) longOrZero(message, "t");
        long querySequence = longOrZero(message, "q");
        long flowControlSequence = longOrZero(message, "f");
        int lastLogTerm = (int) longOrZero(message, "lt");
        long lastLogIndex = longOrZero(message, "li");
        boolean granted = Boolean.TRUE.equals(message.get("yes"));
        return switch (stringOrEmpty(message, "k")) {
            case "append" -> {
                List<LogEntry> entries = new ArrayList<>();
                Json.list(message, "e").forEach(entry -> entries.add(decodeLogEntry(entry)));
                yield MODEL_FACTORY
                        .createAppendEntriesRequestBuilder()
                        .setGroupId(groupId)
                        .setSender(sender)
                        .setTerm(term)
                        .setPreviousLogTerm((int) longOrZero(message, "pt"))
                        .setPreviousLogIndex(longOrZero(message, "pi"))
                        .setCommitIndex(longOrZero(message, "ci"))
                        .setLogEntries(entries)
                        .setQuerySequenceNumber(querySequence)
                        .setFlowControlSequenceNumber(flowControlSequence)
                        .build();
            }
            case "appended" ->
                    MODEL_FACTORY
                            .createAppendEntriesSuccessResponseBuilder()
                            .setGroupId(groupId)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogIndex(lastLogIndex)
                            .setQuerySequenceNumber(querySequence)
                            .setFlowControlSequenceNumber(flowControlSequence)
                            .build();
            case "not-appended" ->
                    MODEL_FACTORY
                            .createAppendEntriesFailureResponseBuilder()
                            .setGroupId(groupId)
                            .setSender(sender)
                            .setTerm(term)
                            .setExpectedNextIndex(longOrZero(message, "ni"))
                            .setQuerySequenceNumber(querySequence)
                            .setFlowControlSequenceNumber(flowControlSequence)
                            .build();
            case "vote" ->
                    MODEL_FACTORY
                            .createVoteRequestBuilder()
                            .setGroupId(groupId)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogTerm(lastLogTerm)
                            .setLastLogIndex(lastLogIndex)
                            .setSticky(Boolean.TRUE.equals(message.get("sticky")))
                            .build();
            case "voted" ->
                    MODEL_FACTORY
                            .createVoteResponseBuilder()
                            .setGroupId(groupId)
                            .setSender(sender)
                            .setTerm(term)
                            .setGranted(granted)
                            .build();
            case "would" ->
                    MODEL_FACTORY
                            .createPreVoteRequestBuilder()
                            .setGroupId(groupId)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogTerm(lastLogTerm)
                            .setLastLogIndex(lastLogIndex)
                            .build();
            case "would-vote" ->
                    MODEL_FACTORY
                            .createPreVoteResponseBuilder()
                            .setGroupId(groupId)
                            .setSender(sender)
                            .setTerm(term)
                            .setGranted(granted)
                            .build();
            case "snapshot" ->
                    MODEL_FACTORY
                            .createInstallSnapshotRequestBuilder()
                            .setGroupId(groupId)
                            .setSender(sender)
                            .setTerm(term)
                            .setSenderLeader(Boolean.TRUE.equals(message.get("leads")))
                            .setSnapshotTerm((int) longOrZero(message, "st"))
                            .setSnapshotIndex(longOrZero(message, "si"))
                            .setTotalSnapshotChunkCount((int) longOrZero(message, "of"))
                            .setSnapshotChunk(
                                    message.get("chunk") == null
                                            ? null
                                            : decodeSnapshotChunk(message.get("chunk")))
                            .setSnapshottedMembers(decodeEndpoints(message.get("from")))
                            .setGroupMembersView(decodeMembersView(message.get("view")))
                            .setQuerySequenceNumber(querySequence)
                            .setFlowControlSequenceNumber(flowControlSequence)
                            .build();
            case "snapshot-got" ->
                    MODEL_FACTORY
                            .createInstallSnapshotResponseBuilder()
                            .setGroupId(groupId)
                            .setSender(sender)
                            .setTerm(term)
                            .setSnapshotIndex(longOrZero(message, "si"))
                            .setRequestedSnapshotChunkIndex((int) longOrZero(message, "c"))
                            .setQuerySequenceNumber(querySequence)
                            .setFlowControlSequenceNumber(flowControlSequence)
                            .build();
            case "lead" ->
                    MODEL_FACTORY
                            .createTriggerLeaderElectionRequestBuilder()
                            .setGroupId(groupId)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogTerm(lastLogTerm)
                            .setLastLogIndex(lastLogIndex)
                            .build();
            default -> throw new Json.MalformedJsonException("no message: " + message.get("k"));
        };
    }

    static Map<String, Object> copy(Map<String, Object> message) {
        return new HashMap<>(message);
    }
}
