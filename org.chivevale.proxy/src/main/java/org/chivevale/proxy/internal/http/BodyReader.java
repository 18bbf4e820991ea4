package org.chivevale.proxy.internal.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;

/**
 * Reads a request's body up to a limit.
 *
 * <p>Invariant: at most the limit is kept in memory; what comes after it is dropped. Used on the
 * event loop, once.
 */
final class BodyReader {
    private final HttpServerRequest request;
    private final int limitBytes;
    private final Buffer body = Buffer.buffer();
    private boolean tooLarge;

    BodyReader(HttpServerRequest request, int limitBytes) {
        this.request = request;
        this.limitBytes = limitBytes;
    }

    Future<Buffer> call() {
        Promise<Buffer> promise = Promise.promise();
        request.handler(this::add);
        request.endHandler(
                ended -> {
                    if (tooLarge) {
                        promise.tryFail(
                                new ChivevaleException(
                                        ResultCode.BODY_TOO_LARGE,
                                        "the body is above " + limitBytes + " bytes"));
                    } else {
                        promise.tryComplete(body);
                    }
                });
        request.exceptionHandler(promise::tryFail);
        return promise.future();
    }

    private void add(Buffer part) {
        if (tooLarge) {
            return;
        }
        if (body.length() + part.length() > limitBytes) {
            tooLarge = true;
            return;
        }
        body.appendBuffer(part);
    }
}
