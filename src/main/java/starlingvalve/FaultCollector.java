package starlingvalve;

import java.util.Optional;

/** Runs independent tasks and collects their exceptions, so that a failing task does not prevent the others. */
final class FaultCollector {
    private Optional<RuntimeException> first = Optional.empty();

    /** Runs a task and keeps its exception, if any. Returns whether the task succeeded. */
    boolean collect(Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException e) {
            first.ifPresentOrElse(firstFault -> firstFault.addSuppressed(e), () -> first = Optional.of(e));
            return false;
        }
    }

    /** Throws the first exception, with the others as suppressed ones; does nothing without any. */
    void rethrow() {
        first.ifPresent(fault -> {
            throw fault;
        });
    }
}
