package starlingvalve.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Accepts every submission of class {@code order}, and records its id and budget. */
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
    public void submit(SubmissionServer.Submission submission, Consumer<SubmissionServer.Verdict> callback) {
        ids.add(submission.id());
        budgets.add(submission.budgetMs());
        callback.accept(SubmissionServer.Verdict.accepted(mayBeReceived -> { }));
    }
}
