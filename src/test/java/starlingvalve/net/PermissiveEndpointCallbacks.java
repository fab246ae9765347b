package starlingvalve.net;

/** Lets every call go out, and passes over what a test does not look at. */
abstract class PermissiveEndpointCallbacks implements Endpoints.Callbacks {
    @Override
    public boolean mayBeginAttempt(Endpoints.Call call) {
        return true;
    }

    @Override
    public boolean begins(Endpoints.Call call) {
        return true;
    }

    @Override
    public void retryAfterReceived(long endpoint, double waitMs) {
        // Not looked at.
    }

    @Override
    public void written(int messages) {
        // Not looked at.
    }

    @Override
    public void overAfterEnd(Endpoints.Call call, boolean delivered) {
        // Not looked at.
    }

    @Override
    public void closed(Endpoints.Call call) {
        // Not looked at.
    }
}
