package starlingvalve.net;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * The headers of a received request. Their number is limited, as each takes up many times the bytes of a short header
 * line.
 */
final class BoundedHeaders extends DefaultHttpHeaders {
    /** Most headers of a request; the protocol has about ten. */
    static final int MAX_HEADERS = 100;

    /** Creates headers for each request. */
    static final class Factory implements HttpHeadersFactory {
        @Override
        public HttpHeaders newHeaders() {
            return new BoundedHeaders();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new BoundedHeaders();
        }
    }

    private int added;

    @Override
    public HttpHeaders add(String name, Object value) {
        count();
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        count();
        return super.add(name, value);
    }

    private void count() {
        if (++added > MAX_HEADERS) {
            throw new TooLongHttpHeaderException("more than " + MAX_HEADERS + " headers");
        }
    }
}
