import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Drivers of a fleet with a `list` node whose agents give each of them addresses of its own; a member joins. */
final class Case6 {
    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args);
        // Two groups with a primary and a replica each.
        List<Rig.Member> members = List.of(rig.new Member("a-1", 1, true), rig.new Member("a-2", 1, false),
            rig.new Member("b-1", 2, true), rig.new Member("b-2", 2, false));
        Rig.Member joining = rig.new Member("a-3", 1, false);
        int[] doors = {rig.freePort(), rig.freePort(), rig.freePort(), rig.freePort()};
        int[] voterPorts = {rig.freePort(), rig.freePort(), rig.freePort()};
        List<Rig.Driver> drivers = new ArrayList<>();
        for (int n = 1; n <= 3; n++) {
            String operator = "fleet \"graz\" {\n    driver \"d" + n + "\"\n    listen \"127.0.0.1:" + voterPorts[n - 1] + "\"\n";
            for (int v = 1; v <= 3; v++) {
                operator += "    voter \"d" + v + "\" \"127.0.0.1:" + voterPorts[v - 1] + "\"\n";
            }
            operator += "    state \"" + rig.temp.resolve("d" + n).resolve("state") + "\"\n    list check=60\n}\n";
            drivers.add(rig.new Driver("d" + n, rig.new Agent(list(members, doors, n, null)), Rig.settings(), operator));
        }
        // On each driver's machine the same ports lead to members in another order, as forwarders there are set up.
        for (int i = 0; i < doors.length; i++) {
            int door = i;
            Rig.listen(doors[i], socket -> {
                int n = owner(socket, drivers);
                if (n > 0) {
                    forward(socket, members.get(memberBehind(door, n)).port);
                }
            });
        }
        for (Rig.Driver driver : drivers) {
            driver.start();
        }
        for (Rig.Driver driver : drivers) {
            rig.awaitAdmitted(driver, 20_000);
        }
        if (!rig.await(30_000, () -> drivers.stream().filter(driver -> driver.logged("list: follows the owner")).count() >= 2)) {
            rig.cannotRun("the drivers follow nobody");
        }
        Rig.sleep(2000);
        long before = send(rig, drivers, "before").stream().filter(answer -> answer.kind().equals("served")).count();
        if (before < 55) {
            rig.cannotRun("only " + before + " of 60 requests were served before anything happened");
        }
        if (members.stream().anyMatch(member -> wrong(member) > 0)) {
            rig.cannotRun("a statement came to another group's member before anything happened");
        }
        if (Rig.TROUBLE) {
            rig.say("discovery: a-3 joins group 1");
            for (int n = 1; n <= 3; n++) {
                drivers.get(n - 1).agent.change(2, list(members, doors, n, joining));
            }
        }
        Rig.sleep(3000);
        List<Rig.Answer> answers = send(rig, drivers, "after");
        long served = answers.stream().filter(answer -> answer.kind().equals("served")).count();
        long wrong = members.stream().mapToLong(Case6::wrong).sum();
        long lost = members.stream().filter(member -> member.group == 2).flatMap(member -> member.records.keySet().stream())
            .filter(key -> key.startsWith("g1-")).count();
        String figures = wrong + " statements came to a member of another group than the one they name; " + lost
            + " changes of group 1 were answered as served and stand in group 2's records; of " + answers.size() + " requests " + served
            + " were served";
        if (wrong > 0) {
            rig.broken(figures);
        } else {
            rig.held(figures);
        }
    }

    /** Which member's forwarder listens at a port on a driver's machine. */
    private static int memberBehind(int door, int n) {
        return switch (n) {
            case 1 -> door;
            case 2 -> (door + 2) % 4;
            default -> (door + 1) % 4;
        };
    }

    /** The list as one driver's agent has it. */
    private static List<String> list(List<Rig.Member> members, int[] doors, int n, Rig.Member joining) {
        List<String> entries = new ArrayList<>();
        for (int door = 0; door < doors.length; door++) {
            entries.add(members.get(memberBehind(door, n)).entry("127.0.0.1:" + doors[door], "ready"));
        }
        if (joining != null) {
            entries.add(joining.entry("ready"));
        }
        return entries;
    }

    private static long wrong(Rig.Member member) {
        return member.got.stream().filter(got -> !got.value("cluster").equals(Integer.toString(member.group))).count();
    }

    /** A change and a read of each group by each driver, some times. */
    private static List<Rig.Answer> send(Rig rig, List<Rig.Driver> drivers, String when) throws Exception {
        List<Rig.Answer> answers = new ArrayList<>();
        for (int round = 0; round < 5; round++) {
            for (Rig.Driver driver : drivers) {
                for (int group = 1; group <= 2; group++) {
                    String key = "g" + group + "-" + when + "-" + driver.name + "-" + round;
                    String id = rig.newId();
                    answers.add(told(rig, driver, group, rig.ask(driver.port, id, Rig.change(id, group, 5000, key, "01"), 6000)));
                    id = rig.newId();
                    answers.add(told(rig, driver, group, rig.ask(driver.port, id, Rig.read(id, group, 3000, key), 4000)));
                }
            }
        }
        return answers;
    }

    private static Rig.Answer told(Rig rig, Rig.Driver driver, int group, Rig.Answer answer) {
        rig.say("client of " + driver.name + ", group " + group + ": " + answer.id() + " " + answer.kind() + " after " + answer.tookMs() + " ms, "
            + answer.text());
        return answer;
    }

    /** The number of the driver whose process holds the other end of a connection, or 0. */
    private static int owner(Socket socket, List<Rig.Driver> drivers) throws IOException {
        String local = String.format(":%04X", socket.getPort());
        String remote = String.format(":%04X", socket.getLocalPort());
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            if (!Files.exists(Path.of(table))) {
                continue;
            }
            for (String line : Files.readAllLines(Path.of(table))) {
                String[] fields = line.strip().split(" +");
                if (fields.length > 9 && fields[1].endsWith(local) && fields[2].endsWith(remote)) {
                    String target = "socket:[" + fields[9] + "]";
                    for (int n = 1; n <= drivers.size(); n++) {
                        if (drivers.get(n - 1).alive() && holds(drivers.get(n - 1).pid(), target)) {
                            return n;
                        }
                    }
                }
            }
        }
        return 0;
    }

    private static boolean holds(long pid, String target) throws IOException {
        try (DirectoryStream<Path> descriptors = Files.newDirectoryStream(Path.of("/proc/" + pid + "/fd"))) {
            for (Path descriptor : descriptors) {
                try {
                    if (Files.readSymbolicLink(descriptor).toString().equals(target)) {
                        return true;
                    }
                } catch (IOException closed) {
                    // the next one
                }
            }
        }
        return false;
    }

    private static void forward(Socket socket, int port) throws IOException {
        try (Socket member = new Socket("127.0.0.1", port)) {
            member.setTcpNoDelay(true);
            Rig.daemon(() -> pump(member.getInputStream(), socket.getOutputStream(), socket));
            pump(socket.getInputStream(), member.getOutputStream(), member);
        }
    }

    private static void pump(InputStream in, OutputStream out, Socket end) throws IOException {
        byte[] bytes = new byte[16384];
        try {
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                out.write(bytes, 0, count);
            }
        } finally {
            end.close();
        }
    }
}
