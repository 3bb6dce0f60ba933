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
 * A driver's configuration.
 *
 * @param descriptorLimit how many file descriptors the process may hold
 * @param memoryBytes how much memory the process may use
 * @param knownMembers the member list as of the configuration's writing; may be empty
 * @param settings the deployment's settings, which passed {@link SettingsValidator}
 */
record Configuration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int descriptorLimit,
        long memoryBytes,
        MemberList knownMembers,
        Map<String, Object> settings) {
    private static final int DEFAULT_DESCRIPTOR_LIMIT = 1024;
    private static final int DEFAULT_MEMORY_MB = 192;

    /** With a smaller limit the program can't run. */
    private static final int MIN_LIMIT = 16;

    /** Much more than a list of all members takes. Guards the memory against an endless file. */
    private static final int MAX_FILE_BYTES = 4 << 20;

    /** The configuration is missing, unreadable or invalid. */
    static final class InvalidConfigurationException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigurationException(String reason) {
            super(reason);
        }
    }

    /**
     * Reads the file named by {@code LB_CONFIG}; the other variables apply if the file has no such
     * value.
     */
    static Configuration read(Map<String, String> env) throws InvalidConfigurationException {
        String file = env.get("LB_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new InvalidConfigurationException("LB_CONFIG is not set");
        }
        byte[] text;
        try (InputStream in = Files.newInputStream(Path.of(file))) {
            text = in.readNBytes(MAX_FILE_BYTES);
        } catch (IOException | RuntimeException e) {
            throw new InvalidConfigurationException("can't read the configuration: " + e);
        }
        try {
            Map<String, Object> root = Json.object(text, "the configuration");
            Map<String, Object> limits =
                    root.get("limits") == null
                            ? Map.of()
                            : Json.object(root.get("limits"), "'limits'");
            int descriptorLimit = (int) limit(limits, "sockets", DEFAULT_DESCRIPTOR_LIMIT);
            long memoryMb = limit(limits, "memory_mb", DEFAULT_MEMORY_MB);
            Map<String, Object> settings =
                    Json.object(Json.required(root, "settings"), "'settings'");
            List<String> problems = SettingsValidator.problems(settings);
            if (!problems.isEmpty()) {
                throw new InvalidConfigurationException(
                        "invalid settings: " + String.join("; ", problems));
            }
            return new Configuration(
                    stringValue(root, "name", env.getOrDefault("LB_NAME", "driver")),
                    address(stringValue(root, "listen", env.get("LB_LISTEN")), "listen"),
                    address(stringValue(root, "discovery", env.get("LB_DISCOVERY")), "discovery"),
                    seed(root.get("seed")),
                    descriptorLimit,
                    memoryMb << 20,
                    root.get("known") == null
                            ? new MemberList(0, true, List.of())
                            : MemberList.fromJson(Json.object(root.get("known"), "'known'")),
                    settings);
        } catch (IOException e) {
            throw new InvalidConfigurationException("the configuration is not JSON: " + file);
        } catch (Json.MalformedJsonException e) {
            throw new InvalidConfigurationException("invalid configuration: " + e.getMessage());
        }
    }

    /**
     * Whether the other configuration is equal in all that matters while the program runs, apart
     * from discovery's address.
     */
    boolean equalsExceptDiscovery(Configuration other) {
        return listen.equals(other.listen)
                && descriptorLimit == other.descriptorLimit
                && memoryBytes == other.memoryBytes
                && settings.equals(other.settings);
    }

    private static long limit(Map<String, Object> limits, String name, int defaultValue)
            throws InvalidConfigurationException {
        double value = Json.number(limits, name, defaultValue).doubleValue();
        if (!(value >= MIN_LIMIT && value <= Integer.MAX_VALUE)) {
            throw new InvalidConfigurationException(
                    "invalid configuration: limits."
                            + name
                            + ": a number of "
                            + MIN_LIMIT
                            + " or more is needed, not "
                            + limits.get(name));
        }
        return (long) value;
    }

    private static String stringValue(Map<String, Object> root, String name, String defaultValue) {
        return root.get(name) instanceof String s ? s : defaultValue;
    }

    private static long seed(Object seed) {
        if (seed instanceof Number number) {
            return number.longValue();
        }
        String digits = seed instanceof String text ? text : "";
        return digits.matches("[0-9a-fA-F]{1,16}")
                ? Long.parseUnsignedLong(digits, 16)
                : digits.hashCode();
    }

    private static InetSocketAddress address(String text, String key)
            throws InvalidConfigurationException {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon <= 0
                || !text.substring(colon + 1).matches("[0-9]{1,5}")
                || Integer.parseInt(text.substring(colon + 1)) > 0xffff
                || !MemberList.isIpLiteral(text.substring(0, colon))) {
            throw new InvalidConfigurationException("'" + key + "' is not an address: " + text);
        }
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** The names that the settings list under a key; the router uses their indexes. */
    List<String> names(String key) {
        List<String> names = new ArrayList<>();
        if (settings.get(key) instanceof List<?> entries) {
            for (Object entry : entries) {
                names.add(
                        entry instanceof Map<?, ?> table
                                ? String.valueOf(table.get("name"))
                                : String.valueOf(entry));
            }
        }
        return names;
    }
}
