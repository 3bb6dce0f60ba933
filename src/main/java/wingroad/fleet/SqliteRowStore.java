package wingroad.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A {@link RowStore} in an SQLite file with a write-ahead log: flushed rows survive a crash of the
 * process at any point.
 */
final class SqliteRowStore implements RowStore {
    /** Suffixes of the database's files. */
    private static final String[] FILE_SUFFIXES = {"", "-wal", "-shm"};

    private final Path file;
    private Connection connection;

    SqliteRowStore(Path file) throws IOException {
        this.file = file;
        try {
            open();
        } catch (SQLException e) {
            // A file that cannot be opened as a database is moved aside instead of being
            // overwritten.
            closeConnection();
            String name = setAside();
            throw new UnreadableDatabaseException(name + ": " + e.getMessage());
        }
    }

    /** The file was not a readable database and has been moved aside. */
    static final class UnreadableDatabaseException extends IOException {
        private static final long serialVersionUID = 1L;

        UnreadableDatabaseException(String what) {
            super(what);
        }
    }

    private void open() throws SQLException {
        connection = DriverManager.getConnection("jdbc:sqlite:" + file);
        try (Statement statement = connection.createStatement()) {
            statement.execute("PRAGMA journal_mode=WAL");
            statement.execute("PRAGMA synchronous=FULL");
            try (ResultSet check = statement.executeQuery("PRAGMA quick_check(1)")) {
                if (!check.next() || !"ok".equals(check.getString(1))) {
                    throw new SQLException("integrity check failed: " + check.getString(1));
                }
            }
            for (Table table : Table.values()) {
                statement.execute(
                        "CREATE TABLE IF NOT EXISTS "
                                + table
                                + " (k INTEGER PRIMARY KEY, v BLOB NOT NULL)");
            }
        }
        connection.setAutoCommit(false);
    }

    @Override
    public void put(Table table, long key, byte[] row) throws IOException {
        try (PreparedStatement statement =
                connection.prepareStatement("INSERT OR REPLACE INTO " + table + " VALUES (?, ?)")) {
            statement.setLong(1, key);
            statement.setBytes(2, row);
            statement.execute();
        } catch (SQLException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    @Override
    public void deleteRange(Table table, long from, long to) throws IOException {
        try (PreparedStatement statement =
                connection.prepareStatement("DELETE FROM " + table + " WHERE k BETWEEN ? AND ?")) {
            statement.setLong(1, from);
            statement.setLong(2, to);
            statement.execute();
        } catch (SQLException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    @Override
    public SortedMap<Long, byte[]> readAll(Table table) throws IOException {
        SortedMap<Long, byte[]> rows = new TreeMap<>();
        try (Statement statement = connection.createStatement();
                ResultSet result = statement.executeQuery("SELECT k, v FROM " + table)) {
            while (result.next()) {
                rows.put(result.getLong(1), result.getBytes(2));
            }
        } catch (SQLException e) {
            throw new IOException(e.getMessage(), e);
        }
        return rows;
    }

    @Override
    public void flush() throws IOException {
        try {
            connection.commit();
        } catch (SQLException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    @Override
    public String setAside() throws IOException {
        closeConnection();
        int number = 1;
        while (Files.exists(setAsidePath(number, ""))) {
            number++;
        }
        for (String suffix : FILE_SUFFIXES) {
            Path path = file.resolveSibling(file.getFileName() + suffix);
            if (Files.exists(path)) {
                Files.move(path, setAsidePath(number, suffix));
            }
        }
        try {
            open();
        } catch (SQLException e) {
            throw new IOException(e.getMessage(), e);
        }
        return setAsidePath(number, "").getFileName().toString();
    }

    private Path setAsidePath(int number, String suffix) {
        return file.resolveSibling("aside-" + number + "-" + file.getFileName() + suffix);
    }

    private void closeConnection() {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (SQLException e) {
            // the connection is not used any more
        }
        connection = null;
    }

    @Override
    public void close() {
        closeConnection();
    }
}
