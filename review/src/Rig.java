import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** What all cases share: the record, the driver's process, stand-ins for members and discovery, a client. Loopback only. */
final class Rig implements Closeable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** The one of this process. */
    private static volatile Rig current;

    final Path root;
    final Path temp;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    /** What the shell does before it starts a driver; usually nothing. */
    String startPrefix = "";
    private final PrintStream record;
    private final long startNanos = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();

    interface Task {
        void run() throws Exception;
    }

    interface Case {
        /** Returns one of the exit statuses. */
        int run(Rig rig) throws Exception;
    }

    /** Runs a case; ends all that it has started, also after a time limit. */
    static void main(String[] args, Case body) throws Exception {
        Rig rig = new Rig(Path.of(args[0]).toAbsolutePath().normalize());
        current = rig;
        Runtime.getRuntime().addShutdownHook(new Thread(rig::killAll));
        daemon(() -> {
            Thread.sleep(110_000);
            rig.log("time limit: the case could not run");
            rig.close();
            Runtime.getRuntime().halt(NOT_RUN);
        });
        int status = NOT_RUN;
        try {
            status = body.run(rig);
        } catch (Throwable t) {
            rig.log("the case could not run: " + t);
            t.printStackTrace();
        }
        rig.log("result: " + (status == HELD ? "the rule held" : status == BROKEN ? "the rule was broken" : "not run"));
        rig.close();
        Runtime.getRuntime().halt(status);
    }

    private Rig(Path recordFile) throws IOException {
        Path up = recordFile.getParent();
        while (!Files.exists(up.resolve("deploy/balancer.toml"))) {
            up = up.getParent();
        }
        root = up;
        temp = Files.createTempDirectory("review");
        record = new PrintStream(Files.newOutputStream(recordFile), true, StandardCharsets.UTF_8);
        log("disruption " + (trouble ? "on" : "off (TROUBLE=0)"));
    }

    long ms() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void log(String line) {
        String full = String.format("%7d  %s", ms(), line);
        record.println(full);
        System.out.println(full);
    }

    static void sleep(long ms) throws InterruptedException {
        if (ms > 0) {
            Thread.sleep(ms);
        }
    }

    void sleepUntil(long ms) throws InterruptedException {
        sleep(ms - ms());
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // its connection has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, LOOPBACK)) {
            return s.getLocalPort();
        }
    }

    private static String describe(String sql) {
        Request r = new Request(sql);
        return r.id + " " + r.type + " " + r.key;
    }

    String newId() {
        return String.format("%08x%08x", ids.incrementAndGet(), (int) System.nanoTime());
    }

    void killAll() {
        synchronized (processes) {
            for (Process p : processes) {
                p.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        record.flush();
        for (Process p : List.copyOf(processes)) {
            try {
                p.waitFor(2, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> all = Files.walk(temp)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        }
    }

    // ---- the driver, by the deploy file's run line ----

    final class Driver {
        final String name;
        final int port;
        final Process process;
        final Path logFile;

        Driver(String name, int port, int discoveryPort, String settings, String known, Path operatorFile)
                throws IOException {
            this.name = name;
            this.port = port;
            Path config = temp.resolve(name + ".json");
            Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
                    + "\",\"discovery\":\"127.0.0.1:" + discoveryPort + "\",\"seed\":\""
                    + Long.toHexString(System.nanoTime()) + "\",\n"
                    + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n"
                    + "\"known\":" + known + ",\n\"settings\":" + settings + "}\n");
            logFile = temp.resolve(name + "-" + ids.incrementAndGet() + ".log");
            List<String> command = new ArrayList<>(List.of("/bin/sh", "-c",
                    startPrefix + "exec /bin/sh deploy/serve.sh" + (operatorFile == null ? "" : " --operator " + operatorFile)));
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile())
                    .redirectErrorStream(true).redirectOutput(logFile.toFile());
            builder.environment().put("LB_NAME", name);
            builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("LB_DISCOVERY", "127.0.0.1:" + discoveryPort);
            builder.environment().put("LB_CONFIG", config.toString());
            process = builder.start();
            synchronized (processes) {
                processes.add(process);
            }
            log("driver " + name + " started");
        }

        /** Waits until an empty query is answered, as the front does. */
        void awaitReady() throws Exception {
            for (int i = 0; i < 300; i++) {
                try (Client client = new Client(port)) {
                    client.query("");
                    if (client.read(2000).kind.equals("empty")) {
                        log("driver " + name + " is ready");
                        return;
                    }
                } catch (IOException e) {
                    // not yet
                }
                if (!process.isAlive()) {
                    throw new IOException("the driver has ended: " + Files.readString(logFile));
                }
                sleep(100);
            }
            throw new IOException("the driver is not ready");
        }

        void signal(String signal) throws Exception {
            log("driver " + name + " gets SIG" + signal);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        void logInto(int maxLines) throws IOException {
            List<String> lines = Files.readAllLines(logFile);
            log("log of driver " + name + ":");
            for (String line : lines.subList(Math.max(0, lines.size() - maxLines), lines.size())) {
                record.println("         | " + line);
            }
        }
    }

    // ---- a member ----

    /** A statement at a member. */
    static final class Request {
        final String sql;
        final String id;
        final String type;
        final String key;
        final long timeLeft;
        final boolean write;

        Request(String sql) {
            this.sql = sql;
            id = part(sql, "id=");
            type = part(sql, ",c=");
            timeLeft = Long.parseLong(part(sql, ",d="));
            write = sql.contains("INSERT");
            String[] quoted = sql.split("'");
            key = quoted.length > 1 ? quoted[1] : "";
        }

        String value() {
            return sql.split("'")[3].substring(2);
        }

        private static String part(String sql, String name) {
            int start = sql.indexOf(name) + name.length();
            int end = start;
            while (end < sql.length() && ",* ".indexOf(sql.charAt(end)) < 0) {
                end++;
            }
            return sql.substring(start, end);
        }
    }

    /** What a member answers: a row, or an error. */
    record Answer(byte[] row, String sqlState, boolean primary, double positionMs, Spoil spoil) {
        Answer(byte[] row, String sqlState, boolean primary, double positionMs) {
            this(row, sqlState, primary, positionMs, Spoil.NONE);
        }
    }

    enum Spoil {
        NONE,
        /** The answer goes out in two pieces, and the connection is reset between them. */
        RESET_AFTER_ROW,
        /** A second copy of the answer is written right behind it. */
        SECOND_COPY
    }

    abstract static class Member {
        final String uid;
        final ServerSocket listener;

        Member(String uid) throws IOException {
            this.uid = uid;
            listener = new ServerSocket(0, 200, LOOPBACK);
            daemon(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    daemon(() -> serve(socket));
                }
            });
        }

        int port() {
            return listener.getLocalPort();
        }

        /** Runs a statement; takes as long as its work takes. */
        abstract Answer answer(Request request) throws Exception;

        abstract boolean isPrimary();

        /** Whether it sets TCP_NODELAY; the system's usual is not. */
        boolean noDelay() {
            return true;
        }

        /** Unix time in ms up to which it has applied the log. */
        abstract double positionMs();

        private void serve(Socket socket) throws Exception {
            try (socket) {
                socket.setTcpNoDelay(noDelay());
                DataInputStream in = new DataInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                in.readNBytes(in.readInt() - 4);
                out.write(joined(message('R', new byte[4]), READY));
                for (int type = in.read(); type == 'Q'; type = in.read()) {
                    byte[] body = in.readNBytes(in.readInt() - 4);
                    String sql = new String(body, 0, body.length - 1, StandardCharsets.UTF_8);
                    if (!sql.equals("SHOW gauges")) {
                        current.log("begun     at " + uid + " " + describe(sql));
                    }
                    Answer answer = sql.equals("SHOW gauges")
                            ? new Answer(gauges().getBytes(StandardCharsets.UTF_8), null, isPrimary(), positionMs())
                            : answer(new Request(sql));
                    if (!sql.equals("SHOW gauges")) {
                        current.log("ended     at " + uid + " " + describe(sql) + ": "
                                + (answer.row != null ? "row" : answer.sqlState) + (answer.primary ? ", master" : ", replica")
                                + (answer.spoil == Spoil.NONE ? "" : ", " + answer.spoil));
                    }
                    byte[] first = answer.row != null ? row(answer.row)
                            : message('E', text("SERROR"), text("C" + answer.sqlState), text("Mno"), new byte[1]);
                    if (answer.spoil == Spoil.RESET_AFTER_ROW) {
                        out.write(first);
                        sleep(30);
                        socket.setSoLinger(true, 0);
                        return;
                    }
                    byte[] whole = joined(first, parameter("part", answer.primary ? "master" : "replica"),
                            parameter("caught_up_to", Long.toString((long) answer.positionMs)),
                            parameter("gauges", gauges()), READY);
                    out.write(whole);
                    if (answer.spoil == Spoil.SECOND_COPY) {
                        out.write(whole);
                    }
                }
            }
        }

        private String gauges() {
            return String.format(java.util.Locale.ROOT, "x0=%.3f,x1=%d", positionMs() / 1000, isPrimary() ? 1 : 0);
        }
    }

    // ---- discovery: the agent on the driver's machine ----

    static final class Discovery {
        final ServerSocket listener;
        private final Map<String, String> entries = new TreeMap<>();
        private final Map<String, Long> changedAt = new TreeMap<>();
        private final java.util.Set<Socket> sockets = java.util.concurrent.ConcurrentHashMap.newKeySet();
        private long revision;
        private boolean silent;

        Discovery() throws IOException {
            listener = new ServerSocket(0, 200, LOOPBACK);
            daemon(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    daemon(() -> serve(socket));
                }
            });
        }

        int port() {
            return listener.getLocalPort();
        }

        synchronized void put(String uid, int port, int group, String zone, String model, String state, String more) {
            entries.put(uid, "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"" + zone
                    + "\",\"model\":\"" + model + "\",\"pod_group\":" + group + ",\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":0" + more + "}");
            changedAt.put(uid, ++revision);
            notifyAll();
        }

        synchronized String whole() {
            return "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + String.join(",", entries.values()) + "]}";
        }

        synchronized void setSilent(boolean silent) {
            this.silent = silent;
            notifyAll();
        }

        /** No more calls are taken, and the open ones are closed. */
        void close() throws IOException {
            listener.close();
            for (Socket socket : List.copyOf(sockets)) {
                socket.close();
            }
        }

        private synchronized String answer(long since, long timeoutMs) throws InterruptedException {
            long end = System.nanoTime() + timeoutMs * 1_000_000;
            while (silent || since >= 0 && revision <= since && System.nanoTime() < end) {
                wait(silent ? 0 : Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
            if (since <= 0) {
                return whole();
            }
            List<String> changed = new ArrayList<>();
            changedAt.forEach((uid, at) -> {
                if (at > since) {
                    changed.add(entries.get(uid));
                }
            });
            return "{\"rev\":" + revision + ",\"all\":false,\"targets\":[" + String.join(",", changed) + "]}";
        }

        private void serve(Socket socket) throws Exception {
            sockets.add(socket);
            try (socket) {
                InputStream in = socket.getInputStream();
                StringBuilder head = new StringBuilder();
                for (int c = in.read(); c >= 0; c = in.read()) {
                    head.append((char) c);
                    if (head.toString().endsWith("\r\n\r\n")) {
                        String first = head.substring(0, head.indexOf("\r\n"));
                        head.setLength(0);
                        boolean watch = first.contains("since=");
                        String body = answer(
                                watch ? Long.parseLong(first.replaceAll(".*since=([0-9]+).*", "$1")) : -1,
                                watch ? Long.parseLong(first.replaceAll(".*timeout_ms=([0-9]+).*", "$1")) : 0);
                        socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.UTF_8));
                    }
                }
            }
        }
    }

    // ---- a client ----

    /** An answer to a client: row, error (with its code), empty, or end (of the connection). */
    static final class Reply {
        final String kind;
        final String text;

        Reply(String kind, String text) {
            this.kind = kind;
            this.text = text;
        }

        boolean declined() {
            return kind.equals("error") && (text.equals("53300") || text.equals("57P03"));
        }

        @Override
        public String toString() {
            return kind.equals("row") ? "row '" + (text.length() > 24 ? text.substring(0, 24) + "..." : text) + "'"
                    : kind.equals("error") ? "error " + text + (declined() ? " (declined)" : "") : kind;
        }
    }

    static final class Client implements Closeable {
        final Socket socket;
        private final DataInputStream in;
        private boolean started;
        private String asked = "";

        Client(int port) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, port), 1000);
            byte[] who = "user\0svc\0database\0main\0\0".getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream().write(joined(
                    ByteBuffer.allocate(8).putInt(8 + who.length).putInt(3 << 16).array(), who));
            in = new DataInputStream(socket.getInputStream());
        }

        static byte[] bytesOf(String sql) {
            return message('Q', text(sql));
        }

        void query(String sql) throws IOException {
            if (!sql.isEmpty()) {
                asked = describe(sql);
                current.log("sent      " + asked);
            }
            socket.getOutputStream().write(bytesOf(sql));
        }

        /** Reads one answer up to its ReadyForQuery, or the end. */
        Reply read(int timeoutMs) throws IOException {
            Reply reply = readReply(timeoutMs);
            if (!asked.isEmpty()) {
                current.log("answered  " + asked + ": " + reply);
            }
            return reply;
        }

        private Reply readReply(int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
            Reply reply = null;
            while (true) {
                int type = in.read();
                if (type < 0) {
                    return reply != null ? reply : new Reply("end", "");
                }
                byte[] body = in.readNBytes(in.readInt() - 4);
                if (type == 'D') {
                    reply = new Reply("row", new String(body, 6, body.length - 6, StandardCharsets.UTF_8));
                } else if (type == 'I') {
                    reply = new Reply("empty", "");
                } else if (type == 'E') {
                    for (String field : new String(body, StandardCharsets.UTF_8).split("\0")) {
                        if (field.startsWith("C")) {
                            reply = new Reply("error", field.substring(1));
                        }
                    }
                } else if (type == 'Z') {
                    if (!started && reply == null) {
                        started = true;
                        continue;
                    }
                    started = true;
                    return reply;
                }
            }
        }

        /** Asks on this connection and reads the answer. */
        Reply ask(String sql, int timeoutMs) throws IOException {
            query(sql);
            return read(timeoutMs);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    String select(String type, long d, int group, String key) {
        return "/* id=" + newId() + ",c=" + type + ",d=" + d + ",cluster=" + group + " */ SELECT v FROM records WHERE k = '"
                + key + "'";
    }

    String insert(String type, long d, int group, String key, String hex) {
        return "/* id=" + newId() + ",c=" + type + ",d=" + d + ",cluster=" + group
                + " */ INSERT INTO records (k, v) VALUES ('" + key + "', '\\x" + hex + "') RETURNING v";
    }

    // ---- PostgreSQL's messages ----

    private static final byte[] DESCRIPTION = {
        0, 1, 'v', 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, -1, -1, -1, -1, -1, -1, 0, 1
    };
    private static final byte[] READY = message('Z', new byte[] {'I'});

    static byte[] message(char type, byte[]... parts) {
        byte[] body = joined(parts);
        return ByteBuffer.allocate(5 + body.length).put((byte) type).putInt(4 + body.length).put(body).array();
    }

    static byte[] row(byte[] value) {
        return joined(message('T', DESCRIPTION), message('D', ByteBuffer.allocate(6 + value.length).putShort((short) 1)
                .putInt(value.length).put(value).array()), message('C', text("SELECT 1")));
    }

    static byte[] parameter(String name, String value) {
        return message('S', text(name), text(value));
    }

    static byte[] text(String s) {
        return (s + '\0').getBytes(StandardCharsets.UTF_8);
    }

    static byte[] joined(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] p : parts) {
            all.writeBytes(p);
        }
        return all.toByteArray();
    }

    static boolean waitFor(Process process, long ms) throws InterruptedException {
        return process.waitFor(ms, TimeUnit.MILLISECONDS);
    }
}
