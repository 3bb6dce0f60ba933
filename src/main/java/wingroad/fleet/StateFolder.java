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
    private final Path folder;
    private final Supplier<String> idGenerator;
    private FileChannel lockChannel;

    StateFolder(Path folder, Supplier<String> idGenerator) throws IOException {
        this.folder = folder;
        this.idGenerator = idGenerator;
        Files.createDirectories(folder);
        lockChannel =
                FileChannel.open(
                        folder.resolve("lock"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        try {
            FileLock lock = lockChannel.tryLock();
            if (lock == null) {
                throw new IOException(folder + " is in use by another process");
            }
        } catch (IOException | OverlappingFileLockException e) {
            lockChannel.close();
            throw e instanceof IOException io
                    ? io
                    : new IOException(folder + " is in use in this process");
        }
    }

    /** Who this driver is to the council; drawn when the folder is first used. */
    String identity() throws IOException {
        Path file = folder.resolve("identity");
        if (Files.exists(file)) {
            String saved = Files.readString(file).strip();
            if (saved.matches("[0-9a-f]{1,32}")) {
                return saved;
            }
            Files.move(file, folder.resolve("aside-identity"), StandardCopyOption.REPLACE_EXISTING);
        }
        String generated = idGenerator.get();
        Path temporary = folder.resolve("identity.new");
        try (FileChannel output =
                FileChannel.open(
                        temporary,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            output.write(java.nio.ByteBuffer.wrap(generated.getBytes(StandardCharsets.UTF_8)));
            output.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        return generated;
    }

    /** The voter's state; what is no database is set aside under another name. */
    ConsensusStore openStore() throws IOException {
        prepareUnpackFolder();
        Path file = folder.resolve("council.db");
        try {
            return new ConsensusStore(new SqliteRowStore(file), idGenerator);
        } catch (SqliteRowStore.UnreadableDatabaseException e) {
            ConsensusStore fresh = new ConsensusStore(new SqliteRowStore(file), idGenerator);
            fresh.recordSetAside(e.getMessage());
            return fresh;
        }
    }

    /**
     * The database's own library is unpacked into a file at each start, and one that was killed
     * leaves it behind. In here, under the folder's lock, what is found is nobody's any more.
     */
    private void prepareUnpackFolder() throws IOException {
        Path unpacked = Files.createDirectories(folder.resolve("unpacked"));
        if (!unpacked.toString().equals(System.getProperty("org.sqlite.tmpdir"))) {
            try (DirectoryStream<Path> leftovers = Files.newDirectoryStream(unpacked)) {
                for (Path leftover : leftovers) {
                    Files.delete(leftover);
                }
            }
            System.setProperty("org.sqlite.tmpdir", unpacked.toString());
        }
    }

    @Override
    public void close() {
        try {
            lockChannel.close();
        } catch (IOException e) {
            // the lock ends with the process
        }
    }
}
