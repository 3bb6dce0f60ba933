package wingroad.operator;

import wingroad.door.FairQueueSettings;
import wingroad.door.FairQueueSettings.SourceType;
import wingroad.door.FairQueueSettings.TenantNameSource;
import wingroad.door.FairQueueSettings.TenantSettings;
import wingroad.fleet.FleetConfig;
import wingroad.kdl.KdlReader;
import wingroad.kdl.KdlWriter;
import wingroad.kdl.Node;
import wingroad.kdl.Problem;
import wingroad.kdl.Value;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The operator's file, which enables optional features and configures them.
 *
 * @param fairQueues settings of the fair queues (node {@code door}), or null if they are disabled
 * @param fleet settings of the fleet, or null if there is none
 */
public record OperatorFile(FairQueueSettings fairQueues, FleetConfig fleet) {
    /** Limits the memory that reading a file can take. */
    private static final int MAX_FILE_BYTES = 1 << 20;

    private static final int MAX_NAMES_PER_ADDRESS = 16;
    private static final int MAX_QUEUED_TXNS = 2048;
    private static final int MAX_TENANT_COUNT = 1024;

    /**
     * A file that was read, or the problems that make it unusable.
     *
     * @param file null if there are problems
     * @param problems empty if the file is usable
     */
    public record LoadResult(OperatorFile file, List<Problem> problems) {}

    /** Reads and validates a file. */
    public static LoadResult read(Path path) {
        try (InputStream in = Files.newInputStream(path)) {
            byte[] bytes = in.readNBytes(MAX_FILE_BYTES + 1);
            if (bytes.length == 0) {
                // The file may be read while it is being rewritten; an empty one would silently
                // disable everything.
                return unreadable(
                        "empty: it may be being rewritten; a file that enables nothing needs at"
                                + " least a comment");
            }
            if (bytes.length > MAX_FILE_BYTES) {
                return unreadable("longer than " + MAX_FILE_BYTES + " bytes");
            }
            return read(
                    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString());
        } catch (CharacterCodingException e) {
            return unreadable("no UTF-8");
        } catch (IOException e) {
            return unreadable("cannot be read: " + e);
        }
    }

    private static LoadResult unreadable(String reason) {
        return new LoadResult(null, List.of(new Problem(1, 1, reason)));
    }

    /** Validates the text of a file. */
    public static LoadResult read(String text) {
        KdlReader.Document document = KdlReader.read(text);
        List<Problem> problems = new ArrayList<>(document.problems());
        if (!problems.isEmpty()) {
            return new LoadResult(null, problems);
        }
        NodeReader root =
                new NodeReader(
                        new Node("the file", List.of(), Map.of(), document.nodes()), problems);
        FairQueueSettings fairQueues = null;
        FleetConfig fleet = null;
        for (NodeReader section : root.children(Set.of("door", "fleet"), Set.of("door", "fleet"))) {
            if (section.name().equals("door")) {
                fairQueues = readFairQueues(section);
            } else {
                fleet = FleetSection.read(section);
            }
        }
        Collections.sort(problems);
        return problems.isEmpty()
                ? new LoadResult(new OperatorFile(fairQueues, fleet), List.of())
                : new LoadResult(null, problems);
    }

    private static FairQueueSettings readFairQueues(NodeReader node) {
        FairQueueSettings defaults = FairQueueSettings.DEFAULTS;
        List<TenantNameSource> sources = new ArrayList<>();
        int maxNamesPerAddress = defaults.maxNamesPerAddress();
        int maxQueuedTxns = defaults.maxQueuedTxns();
        TenantSettings defaultTenant = defaults.defaultTenant();
        Map<String, TenantSettings> tenants = new LinkedHashMap<>();
        for (NodeReader child :
                node.children(
                        Set.of(
                                "tenant-from",
                                "names-per-address",
                                "most-waiting",
                                "others",
                                "tenant"),
                        Set.of("names-per-address", "most-waiting", "others"))) {
            switch (child.name()) {
                case "tenant-from" -> readTenantSource(child, sources);
                case "names-per-address" ->
                        maxNamesPerAddress =
                                (int)
                                        child.integerArgument(
                                                "how many names",
                                                0,
                                                MAX_NAMES_PER_ADDRESS,
                                                maxNamesPerAddress);
                case "most-waiting" ->
                        maxQueuedTxns =
                                (int)
                                        child.integerArgument(
                                                "how many txns", 1, MAX_QUEUED_TXNS, maxQueuedTxns);
                case "others" -> defaultTenant = readTenant(child);
                default -> {
                    String name = child.stringArgument("a name");
                    if (tenants.size() >= MAX_TENANT_COUNT) {
                        child.addProblem("more than " + MAX_TENANT_COUNT + " tenants");
                    } else if (name != null && tenants.containsKey(name)) {
                        child.addProblem("the tenant '" + name + "' is listed already");
                    }
                    tenants.put(name, readTenant(child));
                }
            }
            child.reportUnexpected(false);
        }
        node.reportUnexpected(true);
        if (sources.isEmpty()) {
            sources = defaults.tenantNameSources();
        }
        return new FairQueueSettings(
                List.copyOf(sources),
                maxNamesPerAddress,
                maxQueuedTxns,
                defaultTenant,
                Collections.unmodifiableMap(tenants));
    }

    private static void readTenantSource(NodeReader node, List<TenantNameSource> sources) {
        Map<String, SourceType> typesByName = new LinkedHashMap<>();
        typesByName.put("comment", SourceType.COMMENT);
        typesByName.put("startup", SourceType.STARTUP);
        typesByName.put("address", SourceType.ADDRESS);
        SourceType type = node.choiceArgument("a place", typesByName);
        String parameterName =
                type == SourceType.STARTUP
                        ? node.choiceArgument("a startup parameter", startupParameterNames())
                        : type == SourceType.COMMENT
                                ? node.stringArgument("the name of the value in the comment")
                                : null;
        if (type == null || parameterName == null && type != SourceType.ADDRESS) {
            return;
        }
        TenantNameSource source = new TenantNameSource(type, parameterName);
        if (sources.contains(source)) {
            node.addProblem("this place is named already");
        }
        if (sources.stream().anyMatch(o -> o.type() == SourceType.ADDRESS)) {
            node.addProblem("nothing counts behind the address: every txn has one");
        }
        sources.add(source);
    }

    private static Map<String, String> startupParameterNames() {
        Map<String, String> names = new LinkedHashMap<>();
        for (String name : List.of("user", "database", "application_name")) {
            names.put(name, name);
        }
        return names;
    }

    private static TenantSettings readTenant(NodeReader node) {
        double weight = node.numberProperty("weight", 0.01, 1000, 1);
        double cap = node.numberProperty("cap", 0.01, 1, 1);
        return new TenantSettings(weight, cap);
    }

    /** Returns all effective settings, defaults included, in the file's own form. */
    public String toKdl() {
        String disabledComment = fairQueues == null ? "// the door is off\n" : "";
        List<Node> nodes = new ArrayList<>();
        if (fairQueues != null) {
            nodes.add(fairQueuesNode());
        }
        if (fleet != null) {
            nodes.add(FleetSection.toNode(fleet));
        }
        return disabledComment + (nodes.isEmpty() ? "" : KdlWriter.write(nodes));
    }

    private Node fairQueuesNode() {
        List<Node> children = new ArrayList<>();
        for (TenantNameSource source : fairQueues.tenantNameSources()) {
            List<Value> arguments = new ArrayList<>();
            arguments.add(value(source.type().name().toLowerCase(Locale.ROOT)));
            if (source.type() != SourceType.ADDRESS) {
                arguments.add(value(source.parameterName()));
            }
            children.add(node("tenant-from", arguments, Map.of()));
        }
        children.add(
                node(
                        "names-per-address",
                        List.of(value((long) fairQueues.maxNamesPerAddress())),
                        Map.of()));
        children.add(
                node("most-waiting", List.of(value((long) fairQueues.maxQueuedTxns())), Map.of()));
        children.add(node("others", List.of(), tenantProperties(fairQueues.defaultTenant())));
        fairQueues
                .tenants()
                .forEach(
                        (name, tenant) ->
                                children.add(
                                        node(
                                                "tenant",
                                                List.of(value(name)),
                                                tenantProperties(tenant))));
        return new Node("door", List.of(), Map.of(), children);
    }

    private static Map<String, Value> tenantProperties(TenantSettings tenant) {
        Map<String, Value> properties = new LinkedHashMap<>();
        properties.put("weight", value(tenant.weight()));
        properties.put("cap", value(tenant.maxConcurrencyShare()));
        return properties;
    }

    static Value value(Object value) {
        return new Value(value, null, 1, 1);
    }

    static Node node(String name, List<Value> arguments, Map<String, Value> properties) {
        return new Node(name, arguments, properties, List.of());
    }
}
