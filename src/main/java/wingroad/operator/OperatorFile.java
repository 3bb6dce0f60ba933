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
 * The operator's own file: what is switched on, and how. {@code door} and {@code fleet} are null
 * where there is to be none.
 */
public record OperatorFile(FairQueueSettings door, FleetConfig fleet) {
    /** A file without end must not fill the memory. */
    private static final int LONGEST = 1 << 20;

    private static final int MOST_TENANTS = 1024;

    /** What was read, or why it can't be used: one of the two is empty. */
    public record Read(OperatorFile file, List<Problem> problems) {}

    public static Read read(Path path) {
        try (InputStream in = Files.newInputStream(path)) {
            byte[] bytes = in.readNBytes(LONGEST + 1);
            if (bytes.length == 0) {
                // Guards against a start in the moment in which the file is written anew: all would
                // be off without a word.
                return broken(
                        "empty: is it being written? A file that is to switch nothing on has a"
                                + " comment at least");
            }
            if (bytes.length > LONGEST) {
                return broken("longer than " + LONGEST + " bytes");
            }
            return read(
                    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString());
        } catch (CharacterCodingException e) {
            return broken("no UTF-8");
        } catch (IOException e) {
            return broken("can't be read: " + e);
        }
    }

    private static Read broken(String why) {
        return new Read(null, List.of(new Problem(1, 1, why)));
    }

    public static Read read(String text) {
        KdlReader.Document d = KdlReader.read(text);
        List<Problem> problems = new ArrayList<>(d.problems());
        if (!problems.isEmpty()) {
            return new Read(null, problems);
        }
        Section all = new Section(new Node("the file", List.of(), Map.of(), d.nodes()), problems);
        FairQueueSettings door = null;
        FleetConfig fleet = null;
        for (Section s : all.within(Set.of("door", "fleet"), Set.of("door", "fleet"))) {
            if (s.name().equals("door")) {
                door = readFairQueues(s);
            } else {
                fleet = FleetSection.read(s);
            }
        }
        Collections.sort(problems);
        return problems.isEmpty()
                ? new Read(new OperatorFile(door, fleet), List.of())
                : new Read(null, problems);
    }

    private static FairQueueSettings readFairQueues(Section door) {
        FairQueueSettings usual = FairQueueSettings.DEFAULTS;
        List<TenantNameSource> sources = new ArrayList<>();
        int names = usual.maxNamesPerAddress();
        int mostWaiting = usual.maxQueuedTxns();
        TenantSettings others = usual.defaultTenant();
        Map<String, TenantSettings> tenants = new LinkedHashMap<>();
        for (Section s :
                door.within(
                        Set.of(
                                "tenant-from",
                                "names-per-address",
                                "most-waiting",
                                "others",
                                "tenant"),
                        Set.of("names-per-address", "most-waiting", "others"))) {
            switch (s.name()) {
                case "tenant-from" -> source(s, sources);
                case "names-per-address" -> names = (int) s.whole("how many names", 0, 16, names);
                case "most-waiting" ->
                        mostWaiting = (int) s.whole("how many txns", 1, 2048, mostWaiting);
                case "others" -> others = tenant(s);
                default -> {
                    String name = s.word("a name");
                    if (tenants.size() >= MOST_TENANTS) {
                        s.problem("more than " + MOST_TENANTS + " tenants");
                    } else if (name != null && tenants.containsKey(name)) {
                        s.problem("the tenant '" + name + "' is listed already");
                    }
                    tenants.put(name, tenant(s));
                }
            }
            s.end(false);
        }
        door.end(true);
        if (sources.isEmpty()) {
            sources = usual.tenantNameSources();
        }
        return new FairQueueSettings(
                List.copyOf(sources),
                names,
                mostWaiting,
                others,
                Collections.unmodifiableMap(tenants));
    }

    private static void source(Section s, List<TenantNameSource> sources) {
        Map<String, SourceType> places = new LinkedHashMap<>();
        places.put("comment", SourceType.COMMENT);
        places.put("startup", SourceType.STARTUP);
        places.put("address", SourceType.ADDRESS);
        SourceType place = s.oneOf("a place", places);
        String name =
                place == SourceType.STARTUP
                        ? s.oneOf("a startup parameter", startupNames())
                        : place == SourceType.COMMENT
                                ? s.word("the name of the value in the comment")
                                : null;
        if (place == null || name == null && place != SourceType.ADDRESS) {
            return;
        }
        TenantNameSource source = new TenantNameSource(place, name);
        if (sources.contains(source)) {
            s.problem("this place is named already");
        }
        if (sources.stream().anyMatch(o -> o.type() == SourceType.ADDRESS)) {
            s.problem("nothing counts behind the address: every txn has one");
        }
        sources.add(source);
    }

    private static Map<String, String> startupNames() {
        Map<String, String> names = new LinkedHashMap<>();
        for (String name : List.of("user", "database", "application_name")) {
            names.put(name, name);
        }
        return names;
    }

    private static TenantSettings tenant(Section s) {
        double weight = s.number("weight", 0.01, 1000, 1);
        double cap = s.number("cap", 0.01, 1, 1);
        return new TenantSettings(weight, cap);
    }

    /** All settings that are in force, those left out as well, in the file's own form. */
    public String print() {
        String off = door == null ? "// the door is off\n" : "";
        List<Node> all = new ArrayList<>();
        if (door != null) {
            all.add(doorNode());
        }
        if (fleet != null) {
            all.add(FleetSection.whole(fleet));
        }
        return off + (all.isEmpty() ? "" : KdlWriter.write(all));
    }

    private Node doorNode() {
        List<Node> within = new ArrayList<>();
        for (TenantNameSource s : door.tenantNameSources()) {
            List<Value> words = new ArrayList<>();
            words.add(value(s.type().name().toLowerCase(Locale.ROOT)));
            if (s.type() != SourceType.ADDRESS) {
                words.add(value(s.parameterName()));
            }
            within.add(node("tenant-from", words, Map.of()));
        }
        within.add(
                node(
                        "names-per-address",
                        List.of(value((long) door.maxNamesPerAddress())),
                        Map.of()));
        within.add(node("most-waiting", List.of(value((long) door.maxQueuedTxns())), Map.of()));
        within.add(node("others", List.of(), due(door.defaultTenant())));
        door.tenants()
                .forEach((name, t) -> within.add(node("tenant", List.of(value(name)), due(t))));
        return new Node("door", List.of(), Map.of(), within);
    }

    private static Map<String, Value> due(TenantSettings t) {
        Map<String, Value> due = new LinkedHashMap<>();
        due.put("weight", value(t.weight()));
        due.put("cap", value(t.maxConcurrencyShare()));
        return due;
    }

    static Value value(Object it) {
        return new Value(it, null, 1, 1);
    }

    static Node node(String name, List<Value> arguments, Map<String, Value> properties) {
        return new Node(name, arguments, properties, List.of());
    }
}
