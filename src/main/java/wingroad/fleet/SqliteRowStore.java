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
    private static final String[] PARTS = {"", "-wal", "-shm"};

    private final Path file;
    private Connection db;

    SqliteRowStore(Path file) throws IOException {
        this.file = file;
        try {
            open();
        } catch (SQLException e) {
            // What can't be opened as a database is set aside by whoever reads it: nothing is
            // overwritten.
            shut();
            String name = setAside();
            throw new Unreadable(name + ": " + e.getMessage());
        }
    }

    /** The file was none, and has been set aside under another name. */
    static final class Unreadable extends IOException {
        private static final long serialVersionUID = 1L;

        Unreadable(String what) {
            super(what);
        }
    }

    private void open() throws SQLException {
        db = DriverManager.getConnection("jdbc:sqlite:" + file);
        try (Statement s = db.createStatement()) {
            s.execute("PRAGMA journal_mode=WAL");
            s.execute("PRAGMA synchronous=FULL");
            try (ResultSet check = s.executeQuery("PRAGMA quick_check(1)")) {
                if (!check.next() || !"ok".equals(check.getString(1))) {
                    throw new SQLException("not whole: " + check.getString(1));
                }
            }
            for (Table t : Table.values()) {
                s.execute(
                        "CREATE TABLE IF NOT EXISTS "
                                + t
                                + " (k INTEGER PRIMARY KEY, v BLOB NOT NULL)");
            }
        }
        db.setAutoCommit(false);
    }

    @Override
    public void put(Table table, long key, byte[] row) throws IOException {
        try (PreparedStatement s =
                db.prepareStatement("INSERT OR REPLACE INTO " + table + " VALUES (?, ?)")) {
            s.setLong(1, key);
            s.setBytes(2, row);
            s.execute();
        } catch (SQLException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    @Override
    public void drop(Table table, long from, long to) throws IOException {
        try (PreparedStatement s =
                db.prepareStatement("DELETE FROM " + table + " WHERE k BETWEEN ? AND ?")) {
            s.setLong(1, from);
            s.setLong(2, to);
            s.execute();
        } catch (SQLException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    @Override
    public SortedMap<Long, byte[]> all(Table table) throws IOException {
        SortedMap<Long, byte[]> all = new TreeMap<>();
        try (Statement s = db.createStatement();
                ResultSet r = s.executeQuery("SELECT k, v FROM " + table)) {
            while (r.next()) {
                all.put(r.getLong(1), r.getBytes(2));
            }
        } catch (SQLException e) {
            throw new IOException(e.getMessage(), e);
        }
        return all;
    }

    @Override
    public void flush() throws IOException {
        try {
            db.commit();
        } catch (SQLException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    @Override
    public String setAside() throws IOException {
        shut();
        int n = 1;
        while (Files.exists(aside(n, ""))) {
            n++;
        }
        for (String part : PARTS) {
            Path p = file.resolveSibling(file.getFileName() + part);
            if (Files.exists(p)) {
                Files.move(p, aside(n, part));
            }
        }
        try {
            open();
        } catch (SQLException e) {
            throw new IOException(e.getMessage(), e);
        }
        return aside(n, "").getFileName().toString();
    }

    private Path aside(int n, String part) {
        return file.resolveSibling("aside-" + n + "-" + file.getFileName() + part);
    }

    private void shut() {
        try {
            if (db != null) {
                db.close();
            }
        } catch (SQLException e) {
            // it is not used any more
        }
        db = null;
    }

    @Override
    public void close() {
        shut();
    }
}
