package starlingvalve.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Takes on each message of class {@code order} that the client side hands it, and keeps what was handed in. */
class RecordingSubmissionHandler implements SubmissionServer.SubmissionHandler {
    final List<String> ids = new ArrayList<>();
    final List<Long> budgets = new ArrayList<>();

    @Override
    public boolean ready() {
        return true;
    }

    @Override
    public boolean knowsClass(String name) {
        return name.equals("order");
    }

    @Override
    public boolean knowsTenant(String name) {
        return true;
    }

    @Override
    public boolean needsKey(String messageClass) {
        return false;
    }

    @Override
    public void take(SubmissionServer.Submission submission, Consumer<SubmissionServer.Verdict> then) {
        ids.add(submission.id());
        budgets.add(submission.budgetMs());
        then.accept(SubmissionServer.Verdict.accepted(heard -> { }));
    }
}
