package wingroad.driver;

import wingroad.protocol.Json;
import wingroad.protocol.MemberList;
import wingroad.terms.SettingsValidator;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * What a driver is told at its start: who it is, where it listens, whom it asks, and the
 * deployment.
 */
record Configuration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int descriptors,
        long memory,
        MemberList known,
        Map<String, Object> settings) {
    private static final int USUAL_DESCRIPTORS = 1024;
    private static final int USUAL_MEMORY_MB = 192;
    private static final int LEAST_LIMIT = 16;

    /** Far more than a list of all members takes; a file without end must not fill the memory. */
    private static final int LONGEST = 4 << 20;

    /** What is told is missing or broken. */
    static final class Refused extends Exception {
        private static final long serialVersionUID = 1L;

        Refused(String why) {
            super(why);
        }
    }

    /**
     * From the file that LB_CONFIG names; the other variables count where the file has no such
     * value.
     */
    static Configuration read(Map<String, String> env) throws Refused {
        String file = env.get("LB_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new Refused("LB_CONFIG names no configuration");
        }
        byte[] text;
        try (InputStream in = Files.newInputStream(Path.of(file))) {
            text = in.readNBytes(LONGEST);
        } catch (IOException | RuntimeException e) {
            throw new Refused("the configuration can't be read: " + e);
        }
        try {
            Map<String, Object> all = Json.object(text, "the configuration");
            Map<String, Object> limits =
                    all.get("limits") == null
                            ? Map.of()
                            : Json.object(all.get("limits"), "'limits'");
            int descriptors = (int) limit(limits, "sockets", USUAL_DESCRIPTORS);
            long memory = limit(limits, "memory_mb", USUAL_MEMORY_MB);
            Map<String, Object> settings = Json.object(Json.need(all, "settings"), "'settings'");
            List<String> problems = SettingsValidator.problems(settings);
            if (!problems.isEmpty()) {
                throw new Refused("the settings can't be used: " + String.join("; ", problems));
            }
            return new Configuration(
                    word(all, "name", env.getOrDefault("LB_NAME", "driver")),
                    address(word(all, "listen", env.get("LB_LISTEN")), "listen"),
                    address(word(all, "discovery", env.get("LB_DISCOVERY")), "discovery"),
                    seed(all.get("seed")),
                    descriptors,
                    memory << 20,
                    all.get("known") == null
                            ? new MemberList(0, true, List.of())
                            : MemberList.of(Json.object(all.get("known"), "'known'")),
                    settings);
        } catch (IOException e) {
            throw new Refused("the configuration is no JSON: " + file);
        } catch (Json.Malformed e) {
            throw new Refused("the configuration is broken: " + e.getMessage());
        }
    }

    /**
     * Whether the other one differs in nothing that counts while the program runs, apart from
     * discovery's address.
     */
    boolean sameButForDiscovery(Configuration other) {
        return listen.equals(other.listen)
                && descriptors == other.descriptors
                && memory == other.memory
                && settings.equals(other.settings);
    }

    /** A limit with which it can run at all. */
    private static long limit(Map<String, Object> limits, String name, int usual) throws Refused {
        double most = Json.number(limits, name, usual).doubleValue();
        if (!(most >= LEAST_LIMIT && most <= Integer.MAX_VALUE)) {
            throw new Refused(
                    "the configuration is broken: limits."
                            + name
                            + ": a number of "
                            + LEAST_LIMIT
                            + " at the least is needed, not "
                            + limits.get(name));
        }
        return (long) most;
    }

    private static String word(Map<String, Object> all, String name, String otherwise) {
        return all.get(name) instanceof String s ? s : otherwise;
    }

    private static long seed(Object seed) {
        if (seed instanceof Number n) {
            return n.longValue();
        }
        String s = seed instanceof String text ? text : "";
        return s.matches("[0-9a-fA-F]{1,16}") ? Long.parseUnsignedLong(s, 16) : s.hashCode();
    }

    private static InetSocketAddress address(String text, String what) throws Refused {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon <= 0
                || !text.substring(colon + 1).matches("[0-9]{1,5}")
                || Integer.parseInt(text.substring(colon + 1)) > 0xffff
                || !MemberList.isLiteral(text.substring(0, colon))) {
            throw new Refused("'" + what + "' is no address: " + text);
        }
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /**
     * The names that the settings list under this word; their places are the numbers that the
     * module uses.
     */
    List<String> names(String list) {
        List<String> names = new ArrayList<>();
        if (settings.get(list) instanceof List<?> l) {
            for (Object o : l) {
                names.add(
                        o instanceof Map<?, ?> m
                                ? String.valueOf(m.get("name"))
                                : String.valueOf(o));
            }
        }
        return names;
    }
}
