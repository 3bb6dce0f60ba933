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
    private final Connection connection;
    private final CountDownLatch closing = new CountDownLatch(1);
    private volatile long lockHoldMs;
    private final Thread thread = new Thread(this::run, "slow disk");

    public SlowDisk(Path databaseFile) throws SQLException {
        connection = DriverManager.getConnection("jdbc:sqlite:" + databaseFile);
        try (Statement statement = connection.createStatement()) {
            statement.execute("PRAGMA busy_timeout=20000");
        }
    }

    /** From now on a write waits up to so long. */
    public void delayWrites(long holdMs) {
        lockHoldMs = holdMs;
        thread.setDaemon(true);
        thread.start();
    }

    /** From now on no write comes to an end. */
    public void blockWrites() {
        lockHoldMs = Long.MAX_VALUE;
    }

    private void run() {
        try (Statement statement = connection.createStatement()) {
            while (closing.getCount() > 0) {
                long holdMs = lockHoldMs;
                statement.execute("BEGIN IMMEDIATE");
                if (holdMs == Long.MAX_VALUE) {
                    closing.await();
                } else {
                    closing.await(holdMs, TimeUnit.MILLISECONDS);
                }
                statement.execute("ROLLBACK");
                // The lock is not fair: whoever waits for it looks at it again only now and then.
                closing.await(holdMs == Long.MAX_VALUE ? 0 : 120, TimeUnit.MILLISECONDS);
            }
        } catch (SQLException | InterruptedException e) {
            // With the database that it slows.
        }
    }

    @Override
    public void close() throws SQLException, InterruptedException {
        closing.countDown();
        thread.join();
        connection.close();
    }
}
