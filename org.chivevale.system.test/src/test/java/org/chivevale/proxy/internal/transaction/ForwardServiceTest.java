package org.chivevale.proxy.internal.transaction;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.buffer.Buffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.Outcome;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.load.deployment.FreePorts;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.request.CallerResponse;
import org.chivevale.wire.FrameServer;
import org.chivevale.wire.proto.ForwardAnswer;
import org.chivevale.wire.proto.Frame;
import org.chivevale.wire.proto.ProxyMember;
import org.chivevale.wire.proto.RenewAnswer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a caller that waits for ever after the proxy that owns its transaction has
 * answered with something that cannot be read: the outcome of a commit is then unknown, and other
 * steps have not run.
 */
class ForwardServiceTest {
    private static final String HOST = "127.0.0.1";
    private static final String OWNER = "proxy-2";
    private static final long TIMEOUT_SECONDS = 10;

    @TempDir Path folder;

    @Test
    void anAnswerThatCannotBeReadEndsTheStep() throws Exception {
        Path file = folder.resolve("proxy.toml");
        Files.writeString(
                file,
                """
                id = "proxy-1"
                region = "muscat"
                data_center = "muscat-a"
                listen = "%s"
                forward_listen = "%s"
                control = ["127.0.0.1:1"]
                database_password = "x"
                timing.transaction_ms = 600000
                """
                        .formatted(FreePorts.next(), FreePorts.next()));
        ProxySettings settings = ProxySettings.read(file);
        Directory directory = new Directory(settings);
        ForwardService service = new ForwardService(settings, directory, null);
        Kernel kernel =
                new Kernel()
                        .register(EventLoop.NAME, new EventLoop())
                        .register("forward", service, EventLoop.NAME);
        List<Frame> nonsense =
                List.of(
                        Frame.getDefaultInstance(),
                        Frame.newBuilder()
                                .setForwardAnswer(ForwardAnswer.newBuilder().setCodeName("x"))
                                .build());
        kernel.start();
        AtomicReference<Frame> answer = new AtomicReference<>();
        try (FrameServer owner = answering(answer)) {
            EventLoop loop = kernel.find(EventLoop.NAME, EventLoop.class);
            loop.runAndWait(() -> directory.applyRenewal(withOwner(owner.port()), 0));
            for (Frame one : nonsense) {
                answer.set(one);
                assertEquals(Outcome.NOT_RUN, outcome(loop, service, "statements"));
                assertEquals(Outcome.UNKNOWN, outcome(loop, service, TransactionService.COMMIT));
            }
        } finally {
            kernel.stop();
        }
    }

    private static FrameServer answering(AtomicReference<Frame> answer) {
        return new FrameServer(
                HOST,
                0,
                (connection, frame) ->
                        connection.send(
                                answer.get().toBuilder()
                                        .setCorrelationId(frame.getCorrelationId())
                                        .build()));
    }

    private static RenewAnswer withOwner(int port) {
        return RenewAnswer.newBuilder()
                .setMembersIncluded(true)
                .addProxies(ProxyMember.newBuilder().setProxyId(OWNER).setHost(HOST).setPort(port))
                .build();
    }

    private static Outcome outcome(EventLoop loop, ForwardService service, String action) {
        CompletableFuture<CallerResponse> done = new CompletableFuture<>();
        loop.run(
                () ->
                        service.forward(
                                        OWNER,
                                        new ClientAccountId("bakery"),
                                        "id",
                                        action,
                                        Buffer.buffer("{}"))
                                .onSuccess(done::complete)
                                .onFailure(done::completeExceptionally));
        ExecutionException failure =
                assertThrows(
                        ExecutionException.class,
                        () -> done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return ((ChivevaleException) failure.getCause()).outcome();
    }
}
