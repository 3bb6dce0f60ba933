import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Stand-ins for the cases 6 to 10: members, discovery's agents, clients, and the program itself as separate processes, started with the
 * deploy file's command. All of it is on loopback addresses and on the real clock. A case is a class with a main method that makes a Rig,
 * lets something happen, and ends with held, broken or cannotRun.
 */
final class Rig {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long LIMIT_S = 112;

    final Path temp;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Driver> drivers = new CopyOnWriteArrayList<>();
    private final Random ports = new Random();
    private boolean ended;

    /** @param args the case's folder */
    Rig(String[] args) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(args[0], "record.txt")));
        temp = Files.createTempDirectory("wingroad-case-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::cleanUp));
        daemon(() -> {
            TimeUnit.SECONDS.sleep(LIMIT_S);
            cannotRun("not done after " + LIMIT_S + " s");
        });
        say("TROUBLE=" + (TROUBLE ? 1 : 0) + ", " + System.getProperty("java.version"));
    }

    /** Milliseconds since the case began. */
    long ms() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    void say(String line) {
        synchronized (record) {
            record.printf("%7d %s%n", ms(), line.replace(temp.toString(), "TEMP"));
            record.flush();
        }
    }

    private void sayUnless(boolean quiet, String line) {
        if (!quiet) {
            say(line);
        }
    }

    void held(String why) {
        end(0, "HELD: " + why);
    }

    void broken(String why) {
        end(1, "BROKEN: " + why);
    }

    void cannotRun(String why) {
        end(2, "COULD NOT RUN: " + why);
    }

    private void end(int status, String line) {
        synchronized (this) {
            if (ended) {
                while (true) {
                    try {
                        wait();
                    } catch (InterruptedException e) {
                        // ends with the process
                    }
                }
            }
            ended = true;
        }
        say(line);
        System.out.println(line);
        System.exit(status);
    }

    private void cleanUp() {
        for (Driver driver : drivers) {
            if (driver.process != null) {
                driver.process.destroyForcibly();
            }
        }
        for (Driver driver : drivers) {
            try {
                if (driver.process != null) {
                    driver.process.waitFor(3, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") != null) {
            System.out.println("kept " + temp);
            return;
        }
        try (Stream<Path> all = Files.walk(temp)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (IOException e) {
            // what is left is in the temporary folder
        }
    }

    /** A port that nothing listens at, below those that the system gives to outgoing connections. */
    synchronized int freePort() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = 18000 + ports.nextInt(13000);
            try {
                new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")).close();
                return port;
            } catch (IOException taken) {
                // the next one
            }
        }
        throw new IOException("no free port");
    }

    interface Task {
        void run() throws Exception;
    }

    static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // the connection or the case has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(long ms) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(Math.max(0, ms));
    }

    interface Check {
        boolean holds() throws Exception;
    }

    /** Waits until the check holds; false if it does not within the time. */
    boolean await(long withinMs, Check check) throws Exception {
        long until = ms() + withinMs;
        while (ms() < until) {
            if (check.holds()) {
                return true;
            }
            sleep(20);
        }
        return check.holds();
    }

    // ---- members ----

    /** A statement as a member got it. */
    record Got(long atMs, String member, String sql, int connection) {
        String id() {
            return value("id");
        }

        String value(String name) {
            for (String part : sql.substring(2, sql.indexOf("*/")).split(",")) {
                if (part.strip().startsWith(name + "=")) {
                    return part.strip().substring(name.length() + 1);
                }
            }
            return "";
        }

        boolean write() {
            return sql.contains("INSERT");
        }
    }

    /** A database member. It answers at once unless a case says otherwise, and knows whether it is its group's primary. */
    final class Member {
        final String uid;
        final int group;
        final int port;
        volatile boolean primary;
        volatile long workMs = 5;

        /** It writes no line for each statement. */
        volatile boolean quiet;

        final List<Got> got = new CopyOnWriteArrayList<>();
        final Map<String, String> records = new ConcurrentHashMap<>();
        private final ServerSocket door;
        private int lastConnection;

        Member(String uid, int group, boolean primary) throws IOException {
            this.uid = uid;
            this.group = group;
            this.primary = primary;
            this.port = freePort();
            door = listen(port, this::serve);
        }

        private void serve(Socket socket) throws Exception {
            int number;
            synchronized (this) {
                number = ++lastConnection;
            }
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            in.readNBytes(in.readInt() - 4);
            out.write(joined(message('R', new byte[4]), READY));
            for (int type = in.read(); type == 'Q'; type = in.read()) {
                byte[] body = in.readNBytes(in.readInt() - 4);
                String sql = new String(body, 0, body.length - 1, StandardCharsets.ISO_8859_1);
                byte[] answer;
                if (sql.isBlank()) {
                    out.write(joined(message('I'), READY));
                    continue;
                } else if (sql.equals("SHOW gauges") || sql.equals("SELECT 1")) {
                    answer = row(gauges());
                } else {
                    Got one = new Got(ms(), uid, sql, number);
                    if (!quiet) {
                        got.add(one);
                    }
                    sayUnless(quiet, "member " + uid + " got " + sql.substring(0, Math.min(110, sql.length())));
                    sleep(workMs);
                    answer = answer(one);
                }
                long position = System.currentTimeMillis() - (primary ? 0 : 5);
                out.write(joined(answer, parameter("part", primary ? "master" : "replica"),
                    parameter("caught_up_to", Long.toString(position)), parameter("gauges", gauges()), READY));
            }
            socket.close();
        }

        private String gauges() {
            return "x0=" + (System.currentTimeMillis() - (primary ? 0 : 5)) / 1000.0 + ",x1=" + (primary ? 1 : 0);
        }

        private byte[] answer(Got one) {
            if (!one.write()) {
                String key = one.sql.split("'")[1];
                return row(records.getOrDefault(key, uid));
            }
            if (!primary) {
                return error("25006", "not the primary");
            }
            String[] quoted = one.sql.split("'");
            records.put(quoted[1], quoted.length > 3 ? quoted[3] : "");
            return row(uid);
        }

        String entry(String address, String state) {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address + "\",\"az\":\"north\",\"model\":\"std4\",\"pod_group\":" + group
                + ",\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
        }

        String entry(String state) {
            return entry("127.0.0.1:" + port, state);
        }
    }

    interface Service {
        void serve(Socket socket) throws Exception;
    }

    static ServerSocket listen(int port, Service service) throws IOException {
        ServerSocket door = new ServerSocket();
        door.setReuseAddress(true);
        door.bind(new InetSocketAddress("127.0.0.1", port), 200);
        daemon(() -> {
            while (true) {
                Socket socket = door.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> {
                    try (socket) {
                        service.serve(socket);
                    }
                });
            }
        });
        return door;
    }

    // ---- discovery ----

    /** Discovery's agent on a driver's own machine. It answers at once with what it has, and holds a watch until there is more. */
    final class Agent {
        final int port;
        private long version = 1;

        /** Discovery is down: the agent answers nothing. */
        volatile boolean silent;

        private final List<String> entries = new ArrayList<>();

        Agent(List<String> entries) throws IOException {
            this.entries.addAll(entries);
            port = freePort();
            listen(port, this::serve);
        }

        /** A new version of the list, of which this is one entry. */
        synchronized void change(long newVersion, List<String> whole) {
            version = newVersion;
            entries.clear();
            entries.addAll(whole);
            notifyAll();
        }

        synchronized long version() {
            return version;
        }

        synchronized String known() {
            return "{\"rev\":" + version + ",\"all\":true,\"targets\":[" + String.join(",", entries) + "]}";
        }

        private void serve(Socket socket) throws Exception {
            BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (!line.startsWith("GET ")) {
                    continue;
                }
                while (silent) {
                    sleep(20);
                }
                String body;
                synchronized (this) {
                    if (line.contains("since=")) {
                        long since = Long.parseLong(line.replaceAll(".*since=([0-9]+).*", "$1"));
                        long until = ms() + Math.min(60_000, Long.parseLong(line.replaceAll(".*timeout_ms=([0-9]+).*", "$1")));
                        while (version <= since && ms() < until) {
                            wait(Math.max(1, until - ms()));
                        }
                        body = version > since ? known() : "{\"rev\":" + version + ",\"all\":false,\"targets\":[]}";
                    } else {
                        body = known();
                    }
                }
                socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    // ---- the program ----

    /** The settings of a small deployment with one type of reads and one of changes, with the figures of graz-main. */
    static String settings() {
        return "{\"azs\":[\"north\"],\"shapes\":[\"std4\"],\"balancers\":3,\"index\":0,\"zone\":0,\"granularity\":5,\"discovery\":\"push\","
            + "\"grades\":[{\"name\":\"flag-read\",\"aim\":750,\"deadline\":3000,\"semantics\":\"repeatable\",\"worth\":1,\"late-share\":0},"
            + "{\"name\":\"flag-change\",\"aim\":1200,\"deadline\":5000,\"semantics\":\"once\",\"worth\":6,\"late-share\":0.3}],"
            + "\"family-info\":{\"consistency\":[\"recent\",\"update\"],\"oldest-data\":[1500,0],\"checks\":\"silent\","
            + "\"role-in-list\":\"silent\",\"stamps\":true,\"write-marks\":\"client\"},"
            + "\"report\":{\"source\":\"piggyback\",\"names\":[\"x0\",\"x1\"]},"
            + "\"limits\":{\"cancelling\":true,\"probes\":true,\"retry-after\":true,\"second-copies\":true,\"max-attempts\":6,"
            + "\"max-retry-after\":500,\"connect-timeout\":250,\"keepalive\":30000},"
            + "\"rules\":{\"cold\":16000,\"cold-share\":0.26,\"drain-grace\":1000,\"fall\":1500,\"fall-multiple\":2.5,\"ask-within\":10000,"
            + "\"answer-slack\":20}}";
    }

    /** One driver: a process of its own, with its files in the temporary folder. */
    final class Driver {
        final String name;
        final Agent agent;
        final int port = freePort();
        int sockets = 1024;
        int memoryMb = 192;
        private final String settings;
        String operator;
        private Process process;
        private final List<String> log = new ArrayList<>();

        /** @param operator the operator's file, or null for none */
        Driver(String name, Agent agent, String settings, String operator) throws IOException {
            this.name = name;
            this.agent = agent;
            this.settings = settings;
            this.operator = operator;
            Files.createDirectories(temp.resolve(name));
            drivers.add(this);
        }

        Path file(String fileName) {
            return temp.resolve(name).resolve(fileName);
        }

        void writeConfig(int discoveryPort) throws IOException {
            Path next = Files.writeString(file("config.next"), "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
                + "\",\n\"discovery\":\"127.0.0.1:" + discoveryPort + "\",\"seed\":\"" + Long.toHexString(System.nanoTime() & 0xffffff)
                + "\",\n\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},\n\"known\":" + agent.known()
                + ",\n\"settings\":" + settings + "}\n");
            Files.move(next, file("config.json"), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        }

        /** Replaces the operator's file, as the pages ask for, by a rename. */
        void writeOperator() throws IOException {
            Files.move(Files.writeString(file("operator.next"), operator), file("operator.kdl"), StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        }

        void start() throws IOException {
            writeConfig(agent.port);
            String command = "exec /bin/sh deploy/serve.sh";
            if (operator != null) {
                writeOperator();
                command += " --operator " + file("operator.kdl");
            }
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command).redirectErrorStream(true);
            builder.environment().put("LB_CONFIG", file("config.json").toString());
            builder.environment().put("LB_NAME", name);
            builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("LB_DISCOVERY", "127.0.0.1:" + agent.port);
            synchronized (log) {
                log.clear();
            }
            process = builder.start();
            say(name + " starts, process " + process.pid());
            Process started = process;
            daemon(() -> {
                try (BufferedReader reader = started.inputReader(StandardCharsets.UTF_8)) {
                    for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                        say(name + " | " + line);
                        synchronized (log) {
                            log.add(line);
                        }
                    }
                }
                say(name + " has ended, process " + started.pid());
            });
        }

        boolean logged(String text) {
            synchronized (log) {
                return log.stream().anyMatch(line -> line.contains(text));
            }
        }

        boolean alive() {
            return process != null && process.isAlive();
        }

        void awaitLog(String text, long withinMs) throws Exception {
            if (!await(withinMs, () -> logged(text))) {
                cannotRun(name + " did not say '" + text + "'");
            }
        }

        void signal(String signalName) throws Exception {
            say("kill -" + signalName + " " + name);
            new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid())).start().waitFor();
        }

        long pid() {
            return process.pid();
        }

        void kill() throws Exception {
            signal("KILL");
            process.waitFor();
        }
    }

    /** Runs a command of the program; returns its output and status. */
    String command(String... arguments) throws Exception {
        List<String> all = new ArrayList<>(List.of("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-jar", "target/wingroad.jar"));
        all.addAll(List.of(arguments));
        Process process = new ProcessBuilder(all).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        int status = process.waitFor();
        say("$ " + String.join(" ", arguments) + " -> " + status + (output.isEmpty() ? "" : ": " + output.replace("\n", " / ")));
        return status + " " + output;
    }

    // ---- clients ----

    /** What a client got. */
    record Answer(String id, String kind, String text, long sentMs, long gotMs) {
        long tookMs() {
            return gotMs - sentMs;
        }
    }

    private int lastId;

    synchronized String newId() {
        return String.format("%08x%04x", (int) System.nanoTime(), ++lastId);
    }

    static String read(String id, int group, long timeMs, String key) {
        return "/* id=" + id + ",c=flag-read,d=" + timeMs + ",cluster=" + group + " */ SELECT v FROM records WHERE k = '" + key + "'";
    }

    static String change(String id, int group, long timeMs, String key, String hex) {
        return "/* id=" + id + ",c=flag-change,d=" + timeMs + ",cluster=" + group + " */ INSERT INTO records (k, v) VALUES ('" + key
            + "', '\\x" + hex + "') RETURNING v";
    }

    /** A client's connection. */
    final class Client implements AutoCloseable {
        private final Socket socket = new Socket();
        private final DataInputStream in;

        /** Connects and writes the startup message; what follows it may be written at once. */
        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setTcpNoDelay(true);
            in = new DataInputStream(socket.getInputStream());
            byte[] who = "user\0svc\0database\0main\0\0".getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream().write(joined(ByteBuffer.allocate(8).putInt(8 + who.length).putInt(3 << 16).array(), who));
            unreadReady = 1;
        }

        private int unreadReady;

        void send(String sql) throws IOException {
            socket.getOutputStream().write(message('Q', text(sql)));
        }

        /** The answer to the next query, waited for so long at most. */
        Answer receive(String id, long sentMs, long withinMs) {
            String kind = "none";
            String text = "";
            try {
                long until = ms() + withinMs;
                while (true) {
                    long left = until - ms();
                    if (left <= 0) {
                        return new Answer(id, "none", text, sentMs, ms());
                    }
                    socket.setSoTimeout((int) left);
                    int type = in.read();
                    if (type < 0) {
                        return new Answer(id, kind.equals("none") ? "closed" : kind, text, sentMs, ms());
                    }
                    byte[] body = in.readNBytes(in.readInt() - 4);
                    if (type == 'Z') {
                        if (unreadReady-- > 0) {
                            continue;
                        }
                        unreadReady = 0;
                        return new Answer(id, kind, text, sentMs, ms());
                    } else if (type == 'D') {
                        text = new String(body, 6, body.length - 6, StandardCharsets.UTF_8);
                    } else if (type == 'C') {
                        kind = "served";
                    } else if (type == 'I') {
                        kind = "empty";
                    } else if (type == 'E') {
                        text = new String(body, StandardCharsets.UTF_8).replace('\0', ' ').strip();
                        kind = text.contains("C53300") || text.contains("C57P03") ? "refused" : "failed";
                    }
                }
            } catch (java.net.SocketTimeoutException e) {
                return new Answer(id, "none", text, sentMs, ms());
            } catch (EOFException e) {
                return new Answer(id, "closed", text, sentMs, ms());
            } catch (IOException e) {
                return new Answer(id, "closed", e.getMessage(), sentMs, ms());
            }
        }

        Answer ask(String id, String sql, long withinMs) throws IOException {
            long sent = ms();
            send(sql);
            return receive(id, sent, withinMs);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** One statement on a connection of its own. */
    Answer ask(int port, String id, String sql, long withinMs) throws IOException {
        try (Client client = new Client(port)) {
            return client.ask(id, sql, withinMs);
        }
    }

    /** Whether a driver answers an empty query, as the front asks before it admits it. */
    boolean admitted(int port) {
        try (Client client = new Client(port)) {
            return client.ask("", "", 500).kind().equals("empty");
        } catch (IOException e) {
            return false;
        }
    }

    void awaitAdmitted(Driver driver, long withinMs) throws Exception {
        if (!await(withinMs, () -> admitted(driver.port))) {
            cannotRun(driver.name + " is not ready");
        }
        say("front: " + driver.name + " has answered an empty query");
    }

    // ---- PostgreSQL's messages ----

    private static final byte[] DESCRIPTION = {0, 1, 'v', 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, -1, -1, -1, -1, -1, -1, 0, 1};
    static final byte[] READY = message('Z', new byte[] {'I'});

    static byte[] message(char type, byte[]... parts) {
        byte[] body = joined(parts);
        return ByteBuffer.allocate(5 + body.length).put((byte) type).putInt(4 + body.length).put(body).array();
    }

    static byte[] row(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return joined(message('T', DESCRIPTION),
            message('D', ByteBuffer.allocate(6 + bytes.length).putShort((short) 1).putInt(bytes.length).put(bytes).array()),
            message('C', text("SELECT 1")));
    }

    static byte[] error(String code, String text) {
        return message('E', text("SERROR"), text("VERROR"), text("C" + code), text("M" + text), new byte[1]);
    }

    static byte[] parameter(String name, String value) {
        return message('S', text(name), text(value));
    }

    static byte[] text(String s) {
        return (s + '\0').getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] joined(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    /** The first of them that meets the condition, or null. */
    static <T> T first(List<T> all, Predicate<T> condition) {
        return all.stream().filter(condition).findFirst().orElse(null);
    }
}
