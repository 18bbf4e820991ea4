package org.chivevale.proxy.internal.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;

/**
 * Reads the body of a request, up to a maximum size.
 *
 * <p>Invariant: at most the maximum is kept in memory; the rest is discarded. Used on the event
 * loop, for a single request.
 */
final class BodyReader {
    private final HttpServerRequest request;
    private final int maxBytes;
    private final Buffer body = Buffer.buffer();
    private boolean tooLarge;

    BodyReader(HttpServerRequest request, int maxBytes) {
        this.request = request;
        this.maxBytes = maxBytes;
    }

    Future<Buffer> read() {
        Promise<Buffer> promise = Promise.promise();
        request.handler(this::append);
        request.endHandler(
                ended -> {
                    if (tooLarge) {
                        promise.tryFail(
                                new ChivevaleException(
                                        ResultCode.BODY_TOO_LARGE,
                                        "the body exceeds " + maxBytes + " bytes"));
                    } else {
                        promise.tryComplete(body);
                    }
                });
        request.exceptionHandler(
                failure ->
                        promise.tryFail(
                                new ChivevaleException(
                                        ResultCode.MALFORMED_REQUEST,
                                        "the body is incomplete: " + failure.getMessage())));
        return promise.future();
    }

    private void append(Buffer chunk) {
        if (tooLarge) {
            return;
        }
        if (body.length() + chunk.length() > maxBytes) {
            tooLarge = true;
            return;
        }
        body.appendBuffer(chunk);
    }
}
