package wingroad.rig;

import wingroad.Fixtures;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The packaged driver as one process of its own, started by the run line of deploy/balancer.toml,
 * with 192 MB and 1,024 descriptors.
 */
@SuppressWarnings("try")
public final class PackagedDriver implements AutoCloseable {
    public static final int MEMORY_LIMIT_MB = 192;
    public static final int DESCRIPTOR_LIMIT = 1024;

    private static final long STOP_TIMEOUT_S = 20;

    private final Process process;
    private final int port;
    private final List<String> logLines = Collections.synchronizedList(new ArrayList<>());

    /**
     * Starts the process and waits until it serves.
     *
     * @param directory gets the configuration
     * @param discoveryPort where the member list is asked for
     * @param knownMembers the entries of the list in the configuration
     * @param operatorFile text of an operator's file, or null to start without one
     */
    public PackagedDriver(
            Path directory, int discoveryPort, String knownMembers, String operatorFile)
            throws IOException {
        this(
                directory,
                discoveryPort,
                knownMembers,
                operatorFile,
                Fixtures.SETTINGS_JSON,
                DESCRIPTOR_LIMIT);
    }

    /**
     * Starts the process with other settings than those of the fixtures.
     *
     * @param settings the settings in the configuration, as JSON
     * @param descriptorLimit how many descriptors the process may have
     */
    public PackagedDriver(
            Path directory,
            int discoveryPort,
            String knownMembers,
            String operatorFile,
            String settings,
            int descriptorLimit)
            throws IOException {
        Path configuration =
                Files.writeString(
                        directory.resolve("config.json"),
                        "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                                + discoveryPort
                                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                                + "\"memory_mb\":"
                                + MEMORY_LIMIT_MB
                                + ",\"sockets\":"
                                + descriptorLimit
                                + "},\"known\":{\"rev\":0,\"all\":true,\"targets\":["
                                + knownMembers
                                + "]},\"settings\":"
                                + settings
                                + "}");
        String command = "ulimit -n " + descriptorLimit + "; " + runLine();
        if (operatorFile != null) {
            Path operatorPath = Files.writeString(directory.resolve("operator.kdl"), operatorFile);
            command += " --operator " + operatorPath;
        }
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", command).redirectErrorStream(true);
        builder.environment().put("LB_CONFIG", configuration.toString());
        process = builder.start();
        port = awaitServing(process.inputReader(StandardCharsets.UTF_8));
    }

    private static String runLine() throws IOException {
        return Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .replaceAll("^run = \"(.*)\"$", "$1");
    }

    private int awaitServing(BufferedReader output) throws IOException {
        for (String line = output.readLine(); line != null; line = output.readLine()) {
            logLines.add(line);
            if (line.contains(" serves ")) {
                Thread logReader = new Thread(() -> collectLog(output), "driver's log");
                logReader.setDaemon(true);
                logReader.start();
                return Integer.parseInt(line.replaceAll(".* serves [^ ]*:([0-9]+),.*", "$1"));
            }
        }
        throw new AssertionError("the driver ended before it served: " + logLines);
    }

    private void collectLog(BufferedReader output) {
        try {
            for (String line = output.readLine(); line != null; line = output.readLine()) {
                logLines.add(line);
            }
        } catch (IOException ended) {
            // The process has ended.
        }
    }

    public int port() {
        return port;
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Sends a signal, named as for kill. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    /** Waits for the exit of the process; returns whether it has ended within the time. */
    public boolean awaitExit(long timeoutMs) throws InterruptedException {
        return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** The log lines so far that contain the text. */
    public List<String> logLines(String text) {
        synchronized (logLines) {
            return logLines.stream().filter(line -> line.contains(text)).toList();
        }
    }

    /** The highest resident memory of the process so far, in MB. */
    public long peakMemoryMb() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmHWM"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024)
                .findFirst()
                .orElseThrow();
    }

    /** The memory of all objects in use, after a full collection, in kB. */
    public long liveHeapKb() throws IOException {
        Process histogram =
                new ProcessBuilder("jcmd", Long.toString(process.pid()), "GC.class_histogram")
                        .redirectErrorStream(true)
                        .start();
        List<String> lines = histogram.inputReader(StandardCharsets.UTF_8).lines().toList();
        return lines.stream()
                .filter(line -> line.startsWith("Total"))
                .mapToLong(line -> Long.parseLong(line.strip().split(" +")[2]) / 1024)
                .findFirst()
                .orElseThrow(() -> new AssertionError(lines.toString()));
    }

    /**
     * The bytes that the system holds at this moment for the driver's side of its clients'
     * connections: received and not read yet, or written and not acknowledged yet.
     */
    public long systemBufferedBytes() throws IOException {
        String localPort = String.format(":%04X", port);
        long sum = 0;
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            if (!Files.exists(Path.of(table))) {
                continue;
            }
            for (String line : Files.readAllLines(Path.of(table))) {
                String[] fields = line.strip().split(" +");
                // local address, remote address, state (0A: listening), bytes to send:to read
                if (fields.length > 4 && fields[1].endsWith(localPort) && !fields[3].equals("0A")) {
                    String[] queues = fields[4].split(":");
                    sum += Long.parseLong(queues[0], 16) + Long.parseLong(queues[1], 16);
                }
            }
        }
        return sum;
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly().waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS);
    }
}
