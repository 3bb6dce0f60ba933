package wingroad.rig;

import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Makes a voter's disk slow or hang: it holds the write lock of the voter's database from outside,
 * so that the voter's writes wait as they do for a disk that is busy.
 */
public final class SlowDisk implements AutoCloseable {
    private final Connection db;
    private final CountDownLatch over = new CountDownLatch(1);
    private volatile long holdMs;
    private final Thread thread = new Thread(this::run, "slow disk");

    public SlowDisk(Path file) throws SQLException {
        db = DriverManager.getConnection("jdbc:sqlite:" + file);
        try (Statement s = db.createStatement()) {
            s.execute("PRAGMA busy_timeout=20000");
        }
    }

    /** From now on a write waits up to so long. */
    public void slow(long ms) {
        holdMs = ms;
        thread.setDaemon(true);
        thread.start();
    }

    /** From now on no write comes to an end. */
    public void hang() {
        holdMs = Long.MAX_VALUE;
    }

    private void run() {
        try (Statement s = db.createStatement()) {
            while (over.getCount() > 0) {
                long hold = holdMs;
                s.execute("BEGIN IMMEDIATE");
                if (hold == Long.MAX_VALUE) {
                    over.await();
                } else {
                    over.await(hold, TimeUnit.MILLISECONDS);
                }
                s.execute("ROLLBACK");
                // The lock is not fair: whoever waits for it looks at it again only now and then.
                over.await(hold == Long.MAX_VALUE ? 0 : 120, TimeUnit.MILLISECONDS);
            }
        } catch (SQLException | InterruptedException e) {
            // With the database that it slows.
        }
    }

    @Override
    public void close() throws SQLException, InterruptedException {
        over.countDown();
        thread.join();
        db.close();
    }
}
