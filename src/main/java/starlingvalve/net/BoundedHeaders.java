package starlingvalve.net;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * The headers of a received request or answer. Their number is limited, as each takes up many times the bytes of a
 * short header line.
 */
final class BoundedHeaders extends DefaultHttpHeaders {
    /** Most headers of a message; the protocol has about ten. */
    static final int MAX_HEADERS = 100;

    /** Creates a codec for one request that this process sends and its answer, whose headers are bounded. */
    static HttpClientCodec clientCodec() {
        HttpDecoderConfig answers =
                new HttpDecoderConfig().setHeadersFactory(new Factory()).setTrailersFactory(new Factory());
        return new HttpClientCodec(answers, HttpClientCodec.DEFAULT_PARSE_HTTP_AFTER_CONNECT_REQUEST,
                HttpClientCodec.DEFAULT_FAIL_ON_MISSING_RESPONSE);
    }

    /** Creates headers for each message. */
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
