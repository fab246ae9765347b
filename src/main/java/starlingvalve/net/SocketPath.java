package starlingvalve.net;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Paths of Unix domain sockets. The address of such a socket holds a short path only ({@code sun_path}, unix(7)), while
 * the path of a folder may be longer. A socket in such a folder is reached through a descriptor of the folder.
 */
final class SocketPath {
    /** Longest path that an address holds, in bytes, without the zero byte at its end. */
    private static final int MAX_PATH_BYTES = 107;
    private static final Path DESCRIPTORS = Path.of("/proc/self/fd");

    private SocketPath() {
    }

    /**
     * Returns a path of the same socket that fits into an address: the path itself if it is short enough; otherwise one
     * that is valid in this process only. For that the folder stays open until the process ends.
     *
     * @throws IOException if the folder can't be opened, or its descriptor can't be found
     */
    static Path fitting(Path socket) throws IOException {
        if (socket.toString().getBytes(StandardCharsets.UTF_8).length <= MAX_PATH_BYTES) {
            return socket;
        }
        Path folder = socket.toAbsolutePath().getParent();
        FileChannel opened = FileChannel.open(folder, StandardOpenOption.READ);
        try {
            return descriptorOf(folder.toRealPath()).resolve(socket.getFileName());
        } catch (IOException e) {
            opened.close();
            throw e;
        }
    }

    /** Returns the path of a descriptor of this folder, which is open. */
    private static Path descriptorOf(Path folder) throws IOException {
        try (DirectoryStream<Path> descriptors = Files.newDirectoryStream(DESCRIPTORS)) {
            for (Path descriptor : descriptors) {
                if (Files.isDirectory(descriptor) && folder.equals(descriptor.toRealPath())) {
                    return descriptor;
                }
            }
        }
        throw new IOException("no descriptor of " + folder);
    }
}
