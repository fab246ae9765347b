package starlingvalve.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** The clocks of the machine. */
interface TimeSource {
    /** The clocks as they are. */
    TimeSource SYSTEM = new TimeSource() {
        private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");

        @Override
        public long wallMs() {
            return System.currentTimeMillis();
        }

        @Override
        public long monotonicMs() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        }

        @Override
        public String bootId() {
            try {
                return Files.readString(BOOT_ID).trim();
            } catch (IOException e) {
                return "unknown";
            }
        }
    };

    /** Milliseconds since 1970; may be stepped at any moment, forward or back. */
    long wallMs();

    /** Milliseconds since some moment that all processes of one boot share; never goes back. */
    long monotonicMs();

    /** Names the boot of the machine. */
    String bootId();
}
