import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Something to try wingroad with: three members of one group, their discovery, and a client.
 *
 * <pre>
 * java examples/Toy.java servers          members on 5501 to 5503, discovery on 8500; Enter moves the primary
 * java examples/Toy.java put KEY VALUE    writes by the driver on 6432
 * java examples/Toy.java get KEY          reads by it
 * </pre>
 */
public final class Toy {
    private static final int[] MEMBERS = {5501, 5502, 5503};
    private static final byte[] DESCRIPTION = {0, 1, 'v', 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, -1, -1, -1, -1, -1, -1, 0, 1};
    private static final byte[] READY = message('Z', new byte[] {'I'});

    /** All members hold the same records at once: these replicas never fall behind. */
    private static final Map<String, byte[]> RECORDS = new ConcurrentHashMap<>();
    private static volatile int primary = MEMBERS[0];

    public static void main(String[] args) throws Exception {
        if (args.length == 1 && args[0].equals("servers")) {
            servers();
        } else if (args.length == 2 && args[0].equals("get")) {
            ask("look", "SELECT v FROM records WHERE k = '" + args[1] + "'");
        } else if (args.length == 3 && args[0].equals("put")) {
            ask("change", "INSERT INTO records (k, v) VALUES ('" + args[1] + "', '\\x"
                + HexFormat.of().formatHex(args[2].getBytes(StandardCharsets.UTF_8)) + "') RETURNING v");
        } else {
            System.err.println("usage: java examples/Toy.java servers | put KEY VALUE | get KEY");
            System.exit(2);
        }
    }

    // ---- the servers ----

    private static void servers() throws IOException {
        for (int port : MEMBERS) {
            accept(port, s -> member(port, s));
        }
        accept(8500, Toy::discovery);
        System.out.println("members on " + Arrays.toString(MEMBERS) + ", the primary is " + primary
            + "; Enter moves it, the end of input stops");
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in));
        for (int i = 1; in.readLine() != null; i++) {
            primary = MEMBERS[i % MEMBERS.length];
            System.out.println("the primary is " + primary);
        }
    }

    private interface Service {
        void serve(Socket s) throws Exception;
    }

    private static void accept(int port, Service service) throws IOException {
        ServerSocket door = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        daemon(() -> {
            while (true) {
                Socket s = door.accept();
                daemon(() -> service.serve(s));
            }
        });
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void daemon(Task task) {
        Thread t = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // the connection has ended
            }
        });
        t.setDaemon(true);
        t.start();
    }

    private static void member(int port, Socket s) throws IOException {
        DataInputStream in = new DataInputStream(s.getInputStream());
        OutputStream out = s.getOutputStream();
        in.readNBytes(in.readInt() - 4);
        out.write(joined(message('R', new byte[4]), READY));
        for (int type = in.read(); type == 'Q'; type = in.read()) {
            byte[] body = in.readNBytes(in.readInt() - 4);
            String sql = new String(body, 0, body.length - 1, StandardCharsets.UTF_8);
            boolean leads = port == primary;
            String[] quoted = sql.split("'");
            byte[] answer;
            if (sql.isEmpty()) {
                answer = message('I');
            } else if (sql.equals("SHOW gauges")) {
                answer = row(("x0=" + System.currentTimeMillis() / 1000.0 + ",x1=" + (leads ? 1 : 0))
                    .getBytes(StandardCharsets.UTF_8));
            } else if (!sql.contains("INSERT")) {
                System.out.println(port + " reads " + quoted[1]);
                answer = row(RECORDS.getOrDefault(quoted[1], new byte[0]));
            } else if (leads) {
                System.out.println(port + " writes " + quoted[1]);
                RECORDS.put(quoted[1], HexFormat.of().parseHex(quoted[3].substring(2)));
                answer = row(RECORDS.get(quoted[1]));
            } else {
                answer = message('E', text("SERROR"), text("C25006"), text("Mnot the primary"), new byte[1]);
            }
            out.write(joined(answer, parameter("part", leads ? "master" : "replica"),
                parameter("caught_up_to", Long.toString(System.currentTimeMillis())), READY));
        }
    }

    private static void discovery(Socket s) throws Exception {
        BufferedReader in = new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.startsWith("GET ")) {
                List<String> all = new ArrayList<>();
                for (int port : MEMBERS) {
                    all.add("{\"uid\":\"toy-" + port + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"here\","
                        + "\"model\":\"toy\",\"pod_group\":1,\"state\":\"ready\",\"capacity_hint\":1.0,\"boot_ms\":0}");
                }
                boolean first = !line.contains("since=1");
                if (!first) {
                    // Nothing ever changes here: the watch just ends after its time.
                    Thread.sleep(Long.parseLong(line.replaceAll(".*timeout_ms=([0-9]+).*", "$1")));
                }
                String body = "{\"rev\":1,\"all\":" + first + ",\"targets\":[" + (first ? String.join(",", all) : "")
                    + "]}";
                s.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                    .getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    // ---- the client ----

    private static void ask(String type, String statement) throws IOException {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), 6432)) {
            byte[] who = "user\0svc\0database\0main\0\0".getBytes(StandardCharsets.UTF_8);
            String comment = "/* id=" + Long.toHexString(System.nanoTime()) + ",c=" + type + ",d=3000,cluster=1 */ ";
            s.getOutputStream().write(joined(ByteBuffer.allocate(8).putInt(8 + who.length).putInt(3 << 16).array(), who,
                message('Q', text(comment + statement))));
            DataInputStream in = new DataInputStream(s.getInputStream());
            int ready = 0;
            for (int kind = in.read(); kind >= 0 && ready < 2; kind = ready < 2 ? in.read() : -1) {
                byte[] body = in.readNBytes(in.readInt() - 4);
                if (kind == 'D') {
                    System.out.println(new String(body, 6, body.length - 6, StandardCharsets.UTF_8));
                } else if (kind == 'E') {
                    System.out.println(new String(body, StandardCharsets.UTF_8).replace('\0', ' '));
                }
                ready += kind == 'Z' ? 1 : 0;
            }
        }
    }

    // ---- PostgreSQL's messages ----

    private static byte[] message(char type, byte[]... parts) {
        byte[] body = joined(parts);
        return ByteBuffer.allocate(5 + body.length).put((byte) type).putInt(4 + body.length).put(body).array();
    }

    private static byte[] row(byte[] value) {
        return joined(message('T', DESCRIPTION), message('D', ByteBuffer.allocate(6 + value.length).putShort((short) 1)
            .putInt(value.length).put(value).array()), message('C', text("SELECT 1")));
    }

    private static byte[] parameter(String name, String value) {
        return message('S', text(name), text(value));
    }

    private static byte[] text(String s) {
        return (s + '\0').getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] joined(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] p : parts) {
            all.writeBytes(p);
        }
        return all.toByteArray();
    }
}
