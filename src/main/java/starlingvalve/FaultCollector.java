package starlingvalve;

import java.util.Optional;

/** Collects the faults of tasks that don't depend on each other, so that each is run whatever becomes of the others. */
final class FaultCollector {
    private Optional<RuntimeException> first = Optional.empty();

    /** Runs a task, and keeps its fault if it fails. Tells whether it did not. */
    boolean collect(Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException e) {
            first.ifPresentOrElse(earlier -> earlier.addSuppressed(e), () -> first = Optional.of(e));
            return false;
        }
    }

    /** Throws the first fault, with the others as suppressed, if there was any. */
    void rethrow() {
        first.ifPresent(fault -> {
            throw fault;
        });
    }
}
