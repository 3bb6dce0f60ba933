package wingroad.protocol;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Discovery's list: whole, or the entries that changed since an earlier version. */
public record MemberList(long version, boolean whole, List<Entry> entries) {
    /** Numbers only: to look a name up would hold up everything else. */
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";

    private static final String LITERAL =
            OCTET + "(\\." + OCTET + "){3}|\\[[0-9a-fA-F:.]*:[0-9a-fA-F:.]*\\]";

    /** One member; {@code startedAt} is in Unix milliseconds, 0 for long ago. */
    public record Entry(
            String uid,
            String host,
            int port,
            String zone,
            String kind,
            int group,
            String state,
            double weight,
            double startedAt,
            boolean primary) {
        public boolean draining() {
            return state.equals("draining");
        }

        public boolean gone() {
            return state.equals("gone");
        }
    }

    /** A list, or why there is none. */
    public record Parsed(MemberList list, String why) {}

    public static Parsed parse(byte[] text) {
        try {
            return new Parsed(of(Json.object(text, "the list")), null);
        } catch (IOException e) {
            return new Parsed(null, "no JSON");
        } catch (Json.Malformed e) {
            return new Parsed(null, e.getMessage());
        }
    }

    /** Whether this names a host by its number. */
    public static boolean isLiteral(String host) {
        return host.matches(LITERAL);
    }

    /** The list in an object that has been read already. */
    public static MemberList of(Map<String, Object> all) {
        List<Entry> entries = new ArrayList<>();
        for (Object o : Json.list(all, "targets")) {
            Map<String, Object> e = Json.object(o, "an entry");
            String address = Json.text(e, "endpoint");
            int colon = address.lastIndexOf(':');
            if (colon <= 0
                    || !address.substring(colon + 1).matches("[0-9]{1,5}")
                    || Integer.parseInt(address.substring(colon + 1)) > 0xffff) {
                throw new Json.Malformed("an endpoint is no address");
            }
            if (!isLiteral(address.substring(0, colon))) {
                throw new Json.Malformed("an endpoint has no address but a name");
            }
            Object role = e.get("part");
            entries.add(
                    new Entry(
                            Json.text(e, "uid"),
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1)),
                            word(e, "az"),
                            word(e, "model"),
                            Json.number(e, "pod_group", 0).intValue(),
                            word(e, "state"),
                            Json.number(e, "capacity_hint", 1).doubleValue(),
                            Json.number(e, "boot_ms", 0).doubleValue(),
                            "master".equals(role)
                                    || role instanceof Number n && n.doubleValue() == 1));
        }
        return new MemberList(
                Json.number(all, "rev", 0).longValue(),
                Boolean.TRUE.equals(all.get("all")),
                entries);
    }

    private static String word(Map<String, Object> e, String name) {
        return e.get(name) instanceof String s ? s : "";
    }
}
