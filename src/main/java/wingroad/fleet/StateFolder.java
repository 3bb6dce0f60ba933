package wingroad.fleet;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.function.Supplier;

/**
 * A driver's folder for what must outlive it. One process has it at a time, by a lock that ends
 * with the process.
 */
final class StateFolder implements AutoCloseable {
    private final Path dir;
    private final Supplier<String> names;
    private FileChannel channel;

    StateFolder(Path dir, Supplier<String> names) throws IOException {
        this.dir = dir;
        this.names = names;
        Files.createDirectories(dir);
        channel =
                FileChannel.open(
                        dir.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            FileLock lock = channel.tryLock();
            if (lock == null) {
                throw new IOException(dir + " is in use by another process");
            }
        } catch (IOException | OverlappingFileLockException e) {
            channel.close();
            throw e instanceof IOException io
                    ? io
                    : new IOException(dir + " is in use in this process");
        }
    }

    /** Who this driver is to the council; drawn when the folder is first used. */
    String identity() throws IOException {
        Path file = dir.resolve("identity");
        if (Files.exists(file)) {
            String s = Files.readString(file).strip();
            if (s.matches("[0-9a-f]{1,32}")) {
                return s;
            }
            Files.move(file, dir.resolve("aside-identity"), StandardCopyOption.REPLACE_EXISTING);
        }
        String drawn = names.get();
        Path next = dir.resolve("identity.new");
        try (FileChannel c =
                FileChannel.open(
                        next,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            c.write(java.nio.ByteBuffer.wrap(drawn.getBytes(StandardCharsets.UTF_8)));
            c.force(true);
        }
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
        return drawn;
    }

    /** The voter's state; what is no database is set aside under another name. */
    ConsensusStore store() throws IOException {
        unpackHere();
        Path file = dir.resolve("council.db");
        try {
            return new ConsensusStore(new SqliteRowStore(file), names);
        } catch (SqliteRowStore.Unreadable e) {
            ConsensusStore fresh = new ConsensusStore(new SqliteRowStore(file), names);
            fresh.tellAside(e.getMessage());
            return fresh;
        }
    }

    /**
     * The database's own library is unpacked into a file at each start, and one that was killed
     * leaves it behind. In here, under the folder's lock, what is found is nobody's any more.
     */
    private void unpackHere() throws IOException {
        Path unpacked = Files.createDirectories(dir.resolve("unpacked"));
        if (!unpacked.toString().equals(System.getProperty("org.sqlite.tmpdir"))) {
            try (DirectoryStream<Path> old = Files.newDirectoryStream(unpacked)) {
                for (Path p : old) {
                    Files.delete(p);
                }
            }
            System.setProperty("org.sqlite.tmpdir", unpacked.toString());
        }
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // the lock ends with the process
        }
    }
}
