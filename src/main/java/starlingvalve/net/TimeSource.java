package starlingvalve.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** The machine's clocks; tests replace them. */
interface TimeSource {
    /** The real clocks. */
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

    /** Returns the wall clock in milliseconds since 1970; it may be stepped at any moment, forward or back. */
    long wallMs();

    /** Returns milliseconds since a fixed moment that all processes of one boot share; never goes back. */
    long monotonicMs();

    /** Returns the id of the machine's current boot, or a constant if it can't be read. */
    String bootId();
}
