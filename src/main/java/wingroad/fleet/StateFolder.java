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
 * A driver's folder for durable state. One process uses it at a time, guarded by a file lock that
 * ends with the process.
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

    /**
     * Returns the driver's identity towards the consensus group; generated at the first use of the
     * folder.
     */
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

    /** Opens the voter's state; a file that is not a readable database is moved aside. */
    ConsensusStore openStore() throws IOException {
        prepareUnpackFolder();
        Path file = folder.resolve("council.db");
        try {
            return new ConsensusStore(new SqliteRowStore(file), idGenerator);
        } catch (SqliteRowStore.UnreadableDatabaseException e) {
            ConsensusStore newStore = new ConsensusStore(new SqliteRowStore(file), idGenerator);
            newStore.recordSetAside(e.getMessage());
            return newStore;
        }
    }

    /**
     * Directs the native library that SQLite unpacks at each start into this folder. A killed
     * process leaves its copy behind; under the folder's lock, any copy found here is unused and
     * can be deleted.
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
