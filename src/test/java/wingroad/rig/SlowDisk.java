package wingroad.rig;

import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Simulates a slow or hung disk of a voter: it holds the write lock of the voter's database from
 * outside, so that the voter's writes wait.
 */
@SuppressWarnings("try")
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

    /** Delays each write by up to the given time. */
    public void delayWrites(long holdMs) {
        lockHoldMs = holdMs;
        thread.setDaemon(true);
        thread.start();
    }

    /** Blocks all writes until close. */
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
                // SQLite's lock is not fair: a waiting writer polls for it, so it needs a pause to
                // obtain the lock.
                closing.await(holdMs == Long.MAX_VALUE ? 0 : 120, TimeUnit.MILLISECONDS);
            }
        } catch (SQLException | InterruptedException e) {
            // The thread ends if the database fails or closes.
        }
    }

    @Override
    public void close() throws SQLException, InterruptedException {
        closing.countDown();
        thread.join();
        connection.close();
    }
}
