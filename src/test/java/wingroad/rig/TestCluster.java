package wingroad.rig;

import wingroad.Fixtures;
import wingroad.Fixtures.FakeDiscovery;

import java.io.BufferedReader;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Several real processes of the program on loopback, each with its own operator's file, state
 * folder and log. Every link between two of them, to members and to discovery passes through a
 * {@link FaultProxy}. Tests never wait for a fixed time but for log lines or for statements that
 * members received.
 */
public final class TestCluster implements AutoCloseable {
    private static final long WAIT_TIMEOUT_S = Integer.getInteger("rig.patience", 40);

    public final FaultProxy proxy = new FaultProxy();
    public final Map<String, DriverProcess> drivers = new LinkedHashMap<>();
    public final Map<String, FencedMember> members = new LinkedHashMap<>();
    public final FakeDiscovery discovery = new FakeDiscovery();
    private final Path directory;
    private final List<String> voters = new ArrayList<>();

    /**
     * Drivers that may be added as voters: no operator's file names them, and all others reach them
     * over one shared link.
     */
    private final List<String> spareVoters = new ArrayList<>();

    /** Members that are left out of the drivers' initial configuration. */
    public final List<String> membersUnknownAtStart = new ArrayList<>();

    private final String defaultFleetSettings;
    private final String driverSettings;

    /**
     * @param driverCount processes, named d1, d2 and so on
     * @param voterCount how many of them, from the first on, are voters
     * @param defaultFleetSettings content of each operator's file besides names, addresses and
     *     state, or null for drivers without a fleet
     * @param driverSettings the settings in each driver's configuration, as JSON
     */
    public TestCluster(
            Path directory,
            int driverCount,
            int voterCount,
            String defaultFleetSettings,
            String driverSettings)
            throws IOException {
        this.directory = directory;
        this.defaultFleetSettings = defaultFleetSettings;
        this.driverSettings = driverSettings;
        for (int i = 1; i <= driverCount; i++) {
            String name = "d" + i;
            if (i <= voterCount) {
                voters.add(name);
            }
            drivers.put(name, new DriverProcess(name));
        }
        for (DriverProcess driver : drivers.values()) {
            for (String voter : voters) {
                proxy.addLink(driver.name, voter);
            }
        }
    }

    /** Makes a member reachable or unreachable for all drivers. */
    public void setReachable(FencedMember member, boolean reachable) throws IOException {
        for (DriverProcess driver : drivers.values()) {
            FaultProxy.Link link = proxy.linkBetween(driver.name, member.uid);
            link.setTargetPort(reachable ? member.port() : 0);
            if (!reachable) {
                proxy.disconnect(link);
            }
        }
    }

    /**
     * Publishes all members in discovery, each in the given state or as ready; members in state
     * "gone" are left out. The addresses are those of the first driver's links.
     */
    public void publishMembers(Map<String, String> states) throws IOException {
        StringBuilder entries = new StringBuilder();
        for (FencedMember member : members.values()) {
            String state = states.getOrDefault(member.uid, "ready");
            if (!state.equals("gone")) {
                entries.append(entries.length() == 0 ? "" : ",")
                        .append(discoveryEntry("d1", member, state));
            }
        }
        discovery.publish(entries.toString());
    }

    /**
     * Adds a member, with a link from each driver. Drivers started later know it from their
     * configuration, unless it is in {@link #membersUnknownAtStart}.
     */
    public FencedMember addMember(String uid, int group, boolean primary, boolean fenced)
            throws IOException {
        FencedMember member = new FencedMember(uid, group, primary, fenced);
        members.put(uid, member);
        for (DriverProcess driver : drivers.values()) {
            proxy.addLink(driver.name, uid).setTargetPort(member.port());
        }
        return member;
    }

    /**
     * One line of a process's log.
     *
     * @param loggedAtMs Unix milliseconds at which the test read it
     */
    public record LogLine(long loggedAtMs, String text) {}

    /** One driver process with its files and log. */
    public final class DriverProcess {
        public final String name;
        private final Path homeDirectory;
        private Process process;
        private final List<LogLine> log = new ArrayList<>();
        private int port;
        public boolean paused;

        /** Name under which the process takes part in the fleet. */
        public String fleetName;

        /**
         * Largest size of a file that the process may write, in KB, or 0 for no limit; writes
         * beyond it fail as on a full disk.
         */
        public int maxFileSizeKb;

        public int startCount;

        private DriverProcess(String name) throws IOException {
            this.name = name;
            fleetName = name;
            homeDirectory = Files.createDirectories(directory.resolve(name));
            proxy.addLink(name, "discovery").setTargetPort(discovery.port());
        }

        /**
         * Fleet settings of this driver's operator file, or null; at first those of the cluster.
         */
        public String fleetSettings = defaultFleetSettings;

        public Path stateDirectory() {
            return homeDirectory.resolve("state");
        }

        public boolean isAlive() {
            return process != null && process.isAlive();
        }

        public long pid() {
            return process.pid();
        }

        /** Returns the port at which the driver serves clients. */
        public int port() {
            return port;
        }

        public void start() throws IOException {
            StringBuilder listedMembers = new StringBuilder();
            for (FencedMember member : members.values()) {
                if (membersUnknownAtStart.contains(member.uid)) {
                    continue;
                }
                listedMembers
                        .append(listedMembers.length() == 0 ? "" : ",")
                        .append(discoveryEntry(name, member, "ready"));
            }
            Path configFile =
                    Files.writeString(
                            homeDirectory.resolve("config.json"),
                            "{\"name\":\""
                                    + name
                                    + "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                                    + proxy.linkBetween(name, "discovery").port()
                                    + "\",\"seed\":\""
                                    + Integer.toHexString(name.hashCode())
                                    + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                                    + "\"sockets\":1024},\"known\":{\"rev\":0,\"all\":true,\"targets\":["
                                    + listedMembers
                                    + "]},\"settings\":"
                                    + driverSettings
                                    + "}");
            List<String> command =
                    new ArrayList<>(
                            List.of(
                                    "java",
                                    "-XX:+UseSerialGC",
                                    "-XX:TieredStopAtLevel=1",
                                    "-XX:-UsePerfData",
                                    "-Xshare:auto",
                                    "-Xms32m",
                                    "-Xmx48m",
                                    "-Xss256k",
                                    "-jar",
                                    "target/wingroad.jar",
                                    "serve"));
            if (defaultFleetSettings != null) {
                command.addAll(List.of("--operator", operatorFile().toString()));
            }
            if (maxFileSizeKb > 0) {
                command =
                        List.of(
                                "bash",
                                "-c",
                                "ulimit -f "
                                        + maxFileSizeKb
                                        + "; exec "
                                        + String.join(" ", command));
            }
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            builder.environment().put("LB_CONFIG", configFile.toString());
            synchronized (log) {
                log.clear();
            }
            paused = false;
            startCount++;
            process = builder.start();
            Process startedProcess = process;
            Thread reader = new Thread(() -> readLog(startedProcess), "log of " + name);
            reader.setDaemon(true);
            reader.start();
        }

        /** Writes the operator's file, with the voters' addresses on this driver's own links. */
        public Path operatorFile() throws IOException {
            StringBuilder content =
                    new StringBuilder("fleet \"rig\" {\n    driver \"" + fleetName + "\"\n");
            for (String voter : voters) {
                content.append("    voter \"")
                        .append(voter)
                        .append("\" \"127.0.0.1:")
                        .append(proxy.linkBetween(name, voter).port())
                        .append("\"\n");
            }
            if (voters.contains(name) || spareVoters.contains(name)) {
                content.append("    listen \"127.0.0.1:0\"\n");
            }
            content.append("    state \"")
                    .append(stateDirectory())
                    .append("\"\n")
                    .append(fleetSettings)
                    .append("}\n");
            Path file = homeDirectory.resolve("operator.kdl");
            // Tests call this while processes start. The file is replaced atomically, so that a
            // process never reads a truncated one.
            if (!Files.exists(file) || !Files.readString(file).contentEquals(content)) {
                Path replacement =
                        Files.writeString(
                                homeDirectory.resolve("operator.kdl.next"), content.toString());
                Files.move(replacement, file, StandardCopyOption.ATOMIC_MOVE);
            }
            return file;
        }

        private void readLog(Process source) {
            try (BufferedReader reader = source.inputReader(StandardCharsets.UTF_8);
                    PrintStream file =
                            new PrintStream(
                                    new FileOutputStream(
                                            homeDirectory.resolve("log").toFile(), true),
                                    true,
                                    StandardCharsets.UTF_8)) {
                for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                    file.println(line);
                    if (line.contains(" serves ")) {
                        port =
                                Integer.parseInt(
                                        line.replaceAll(".* serves [^ ]*:([0-9]+),.*", "$1"));
                    }
                    if (line.contains("listens at ")) {
                        int listenPort =
                                Integer.parseInt(
                                        line.replaceAll(".*listens at [^ ]*:([0-9]+).*", "$1"));
                        for (FaultProxy.Link link : proxy.allLinks()) {
                            if (link.to.equals(name)) {
                                link.setTargetPort(listenPort);
                            }
                        }
                    }
                    synchronized (log) {
                        log.add(new LogLine(System.currentTimeMillis(), line));
                        log.notifyAll();
                    }
                }
            } catch (IOException ended) {
                // The process has ended.
            }
            synchronized (log) {
                log.notifyAll();
            }
        }

        public List<String> log() {
            synchronized (log) {
                return log.stream().map(LogLine::text).toList();
            }
        }

        /**
         * Returns when the first line with the text was logged, in Unix milliseconds, or 0 if there
         * is none.
         */
        public long firstLogTimeMs(String text) {
            synchronized (log) {
                return log.stream()
                        .filter(line -> line.text.contains(text))
                        .mapToLong(LogLine::loggedAtMs)
                        .findFirst()
                        .orElse(0);
            }
        }

        /**
         * Waits for a line that meets the condition, at or after the index; lines logged before the
         * call count too.
         */
        public String awaitLog(int fromLine, Predicate<String> condition)
                throws InterruptedException {
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_TIMEOUT_S);
            synchronized (log) {
                int lineIndex = fromLine;
                while (true) {
                    for (; lineIndex < log.size(); lineIndex++) {
                        if (condition.test(log.get(lineIndex).text)) {
                            return log.get(lineIndex).text;
                        }
                    }
                    long remainingNanos = deadlineNanos - System.nanoTime();
                    if (remainingNanos <= 0 || !isAlive() && lineIndex == log.size()) {
                        throw new AssertionError(
                                name
                                        + " did not log the expected line; its log:\n"
                                        + String.join(
                                                "\n", log.stream().map(LogLine::text).toList()));
                    }
                    log.wait(Math.max(1, Math.min(200, remainingNanos / 1_000_000)));
                }
            }
        }

        /** Waits for a line that contains the text, from the start of the log on. */
        public String awaitLog(String text) throws InterruptedException {
            return awaitLog(0, line -> line.contains(text));
        }

        public int logLineCount() {
            synchronized (log) {
                return log.size();
            }
        }

        private void sendSignal(String signalName) throws IOException {
            try {
                new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid()))
                        .start()
                        .waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Sends SIGSTOP. */
        public void pause() throws IOException {
            paused = true;
            sendSignal("STOP");
        }

        /** Sends SIGCONT. */
        public void resume() throws IOException {
            sendSignal("CONT");
            paused = false;
        }

        /** Sends SIGKILL and waits for the exit; unwritten state is lost. */
        public void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
            paused = false;
        }

        /** Sends SIGTERM and returns at once. */
        public void terminate() throws IOException {
            sendSignal("TERM");
        }

        public void awaitExit() throws InterruptedException {
            if (!process.waitFor(WAIT_TIMEOUT_S, TimeUnit.SECONDS)) {
                throw new AssertionError(name + " did not exit in time");
            }
        }

        /** Deletes the state folder; the process must not be running. */
        public void deleteState() throws IOException {
            try (Stream<Path> paths =
                    Files.exists(stateDirectory())
                            ? Files.walk(stateDirectory())
                            : Stream.empty()) {
                for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
    }

    /**
     * Returns a member's entry in discovery's list, with the address of one driver's link:
     * discovery gives all drivers the same addresses.
     */
    public String discoveryEntry(String driver, FencedMember member, String state)
            throws IOException {
        return Fixtures.listEntry(member.uid, proxy.linkBetween(driver, member.uid).port(), state)
                .replace("\"pod_group\":7", "\"pod_group\":" + member.group);
    }

    /** The entries of ready members, under the endpoints of a driver's own links. */
    public String discoveryEntries(String driver, FencedMember... listed) throws IOException {
        StringBuilder entries = new StringBuilder();
        for (FencedMember member : listed) {
            entries.append(entries.length() == 0 ? "" : ",")
                    .append(discoveryEntry(driver, member, "ready"));
        }
        return entries.toString();
    }

    public DriverProcess driver(String name) {
        return drivers.get(name);
    }

    /**
     * Lets a driver listen as a future voter although no operator's file names it; returns the
     * address at which all others reach it.
     */
    public String addSpareVoter(String name) throws IOException {
        spareVoters.add(name);
        return "127.0.0.1:" + proxy.addLink("all", name).port();
    }

    /** Returns the logs of all processes since their last start. */
    public String allLogs() {
        StringBuilder text = new StringBuilder();
        drivers.values()
                .forEach(
                        driver ->
                                text.append(driver.name)
                                        .append(":\n")
                                        .append(String.join("\n", driver.log()))
                                        .append('\n'));
        return text.toString();
    }

    public List<String> voters() {
        return voters;
    }

    public void startAll() throws IOException {
        for (DriverProcess driver : drivers.values()) {
            driver.start();
        }
    }

    /** Cuts or restores all links between a driver and the voters. */
    public void partitionFromVoters(String driver, boolean cut) {
        for (FaultProxy.Link link : proxy.allLinks()) {
            if (!link.from.equals(link.to)
                    && (link.from.equals(driver) && voters.contains(link.to)
                            || link.to.equals(driver))) {
                proxy.hold(link, FaultProxy.Direction.FORWARD, cut);
                proxy.hold(link, FaultProxy.Direction.BACKWARD, cut);
            }
        }
    }

    /**
     * Cuts or restores one direction only: from the driver to the voters if outbound, else from
     * them to it.
     */
    public void partitionOneWay(String driver, boolean outbound, boolean cut) {
        for (FaultProxy.Link link : proxy.allLinks()) {
            if (link.from.equals(link.to)) {
                // A process's link to itself crosses no network.
                continue;
            }
            if (link.from.equals(driver) && voters.contains(link.to)) {
                proxy.hold(
                        link,
                        outbound ? FaultProxy.Direction.FORWARD : FaultProxy.Direction.BACKWARD,
                        cut);
            } else if (link.to.equals(driver)) {
                proxy.hold(
                        link,
                        outbound ? FaultProxy.Direction.BACKWARD : FaultProxy.Direction.FORWARD,
                        cut);
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (DriverProcess driver : drivers.values()) {
            if (driver.isAlive()) {
                driver.process.destroyForcibly();
            }
        }
        for (FencedMember member : members.values()) {
            member.close();
        }
        discovery.close();
        proxy.close();
    }
}
