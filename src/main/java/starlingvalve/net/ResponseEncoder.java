package starlingvalve.net;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes the answers of one connection; the answer to a HEAD request is sent without its body. */
final class ResponseEncoder extends HttpResponseEncoder {
    private final RequestDecoder requests;

    /** {@code requests} has decoded the request that is answered. */
    ResponseEncoder(RequestDecoder requests) {
        this.requests = requests;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return requests.isHeadRequest() || super.isContentAlwaysEmpty(response);
    }
}
