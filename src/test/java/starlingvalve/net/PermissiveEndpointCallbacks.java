package starlingvalve.net;

/** Allows every call, and ignores the callbacks that a test does not override. */
abstract class PermissiveEndpointCallbacks implements Endpoints.Callbacks {
    @Override
    public boolean mayBeginAttempt(Endpoints.Call call) {
        return true;
    }

    @Override
    public boolean callStarting(Endpoints.Call call) {
        return true;
    }

    @Override
    public void retryAfterReceived(long endpoint, double retryAfterMs) {
        // Ignored.
    }

    @Override
    public void written(int messages) {
        // Ignored.
    }

    @Override
    public void messageEndedAfterCall(Endpoints.Call call, boolean delivered) {
        // Ignored.
    }

    @Override
    public void exchangeEnded(Endpoints.Call call) {
        // Ignored.
    }
}
