package wingroad.protocol;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The member list of the discovery service: complete, or the entries that changed since an earlier
 * version.
 */
public record MemberList(long version, boolean complete, List<Entry> entries) {
    /** Only numeric addresses are accepted: a name lookup would block the event loop. */
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";

    private static final String IP_LITERAL =
            OCTET + "(\\." + OCTET + "){3}|\\[[0-9a-fA-F:.]*:[0-9a-fA-F:.]*\\]";

    /**
     * One member.
     *
     * @param startedAtMs Unix time in milliseconds at which the member started, 0 if that is long
     *     ago
     * @param model the hardware model, empty if unknown
     * @param zone the availability zone, empty if unknown
     */
    public record Entry(
            String uid,
            String host,
            int port,
            String zone,
            String model,
            int group,
            String state,
            double weight,
            double startedAtMs,
            boolean primary) {
        /** State of a member that finishes what it has and gets nothing new. */
        public static final String DRAINING = "draining";

        /** State of a member that is not in use any more. */
        public static final String GONE = "gone";

        public boolean isDraining() {
            return state.equals(DRAINING);
        }

        public boolean isGone() {
            return state.equals(GONE);
        }

        /** The same entry in another state. */
        public Entry withState(String newState) {
            return new Entry(
                    uid, host, port, zone, model, group, newState, weight, startedAtMs, primary);
        }
    }

    /** A parsed list, or the reason why it could not be parsed; the other one is null. */
    public record Parsed(MemberList list, String error) {}

    public static Parsed parse(byte[] text) {
        try {
            return new Parsed(fromJson(Json.object(text, "the list")), null);
        } catch (IOException e) {
            return new Parsed(null, "invalid JSON");
        } catch (Json.MalformedJsonException e) {
            return new Parsed(null, e.getMessage());
        }
    }

    /** Whether the host is an IPv4 address or a bracketed IPv6 address. */
    public static boolean isIpLiteral(String host) {
        return host.matches(IP_LITERAL);
    }

    /** Converts a parsed JSON object. */
    public static MemberList fromJson(Map<String, Object> root) {
        List<Entry> entries = new ArrayList<>();
        for (Object target : Json.list(root, "targets")) {
            Map<String, Object> entry = Json.object(target, "an entry");
            String endpoint = Json.string(entry, "endpoint");
            int colon = endpoint.lastIndexOf(':');
            if (colon <= 0
                    || !endpoint.substring(colon + 1).matches("[0-9]{1,5}")
                    || Integer.parseInt(endpoint.substring(colon + 1)) > 0xffff) {
                throw new Json.MalformedJsonException("an endpoint is no address");
            }
            if (!isIpLiteral(endpoint.substring(0, colon))) {
                throw new Json.MalformedJsonException("an endpoint has no address but a name");
            }
            Object role = entry.get("part");
            entries.add(
                    new Entry(
                            Json.string(entry, "uid"),
                            endpoint.substring(0, colon),
                            Integer.parseInt(endpoint.substring(colon + 1)),
                            stringOrEmpty(entry, "az"),
                            stringOrEmpty(entry, "model"),
                            Json.number(entry, "pod_group", 0).intValue(),
                            stringOrEmpty(entry, "state"),
                            Json.number(entry, "capacity_hint", 1).doubleValue(),
                            Json.number(entry, "boot_ms", 0).doubleValue(),
                            "master".equals(role)
                                    || role instanceof Number n && n.doubleValue() == 1));
        }
        return new MemberList(
                Json.number(root, "rev", 0).longValue(),
                Boolean.TRUE.equals(root.get("all")),
                entries);
    }

    private static String stringOrEmpty(Map<String, Object> object, String name) {
        return object.get(name) instanceof String s ? s : "";
    }
}
