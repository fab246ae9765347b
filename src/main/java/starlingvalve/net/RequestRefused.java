package starlingvalve.net;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Event on a connection: its request can't be received completely. It is to be answered with this status, as the last
 * answer of the connection; input that follows is dropped.
 *
 * @param reason the body of the answer, for human readers
 */
record RequestRefused(HttpResponseStatus status, String reason) {
}
