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
 * RowStore in an SQLite file, by its write-ahead log: what was flushed survives the end of the
 * process at any byte.
 */
final class SqliteRowStore implements RowStore {
    private static final String[] FILE_SUFFIXES = {"", "-wal", "-shm"};

    private final Path file;
    private Connection connection;

    SqliteRowStore(Path file) throws IOException {
        this.file = file;
        try {
            open();
        } catch (SQLException e) {
            // What can't be opened as a database is set aside by whoever reads it: nothing is
            // overwritten.
            closeConnection();
            String name = setAside();
            throw new UnreadableDatabaseException(name + ": " + e.getMessage());
        }
    }

    /** The file was none, and has been set aside under another name. */
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
                    throw new SQLException("not whole: " + check.getString(1));
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
            // it is not used any more
        }
        connection = null;
    }

    @Override
    public void close() {
        closeConnection();
    }
}
