import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * The way from a driver to a member. While it is cut, nothing passes. What was written during the cut comes at the
 * first of TCP's further sends (0.2, 0.6, 1.4, 3.0 and 6.2 s after the first one) that finds the way open again. A
 * connection that is begun during the cut does not come up and is reset when the cut ends.
 */
final class Link {
    private static final long[] FURTHER_SENDS = {200, 600, 1400, 3000, 6200};

    private final Rig rig;
    private final int target;
    private final ServerSocket listener;
    private volatile long cutFrom = Long.MAX_VALUE;
    private volatile long cutUntil = Long.MAX_VALUE;

    Link(Rig rig, int target) throws Exception {
        this.rig = rig;
        this.target = target;
        listener = new ServerSocket(0, 200, Rig.LOOPBACK);
        Rig.daemon(() -> {
            while (true) {
                Socket near = listener.accept();
                Rig.daemon(() -> connect(near));
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    void cut(long from, long until) {
        cutUntil = until;
        cutFrom = from;
    }

    private boolean isCut(long at) {
        return at >= cutFrom && at < cutUntil;
    }

    private void connect(Socket near) throws Exception {
        if (isCut(rig.ms())) {
            rig.sleepUntil(cutUntil);
            near.setSoLinger(true, 0);
            near.close();
            return;
        }
        Socket far = new Socket();
        far.connect(new InetSocketAddress(Rig.LOOPBACK, target), 1000);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        Rig.daemon(() -> pump(near, far));
        Rig.daemon(() -> pump(far, near));
    }

    private void pump(Socket from, Socket to) throws Exception {
        byte[] buffer = new byte[64 * 1024];
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                delay(rig.ms());
                out.write(buffer, 0, count);
            }
            delay(rig.ms());
        }
    }

    private void delay(long sentAt) throws Exception {
        if (isCut(sentAt)) {
            for (long later : FURTHER_SENDS) {
                if (sentAt + later >= cutUntil) {
                    rig.sleepUntil(sentAt + later);
                    return;
                }
            }
            throw new java.io.IOException("given up");
        }
    }
}
