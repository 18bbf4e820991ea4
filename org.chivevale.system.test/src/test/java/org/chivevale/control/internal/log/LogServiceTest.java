package org.chivevale.control.internal.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Future;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.chivevale.control.ControlSettings;
import org.chivevale.control.SingleControl;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.settings.HostPort;
import org.chivevale.process.EventLoop;
import org.chivevale.wire.proto.AccountPut;
import org.chivevale.wire.proto.Change;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against proposals that never end, whose operators wait and whose changes are lost. */
class LogServiceTest {
    private static final int QUEUED = 200_000;
    private static final long TIMEOUT_SECONDS = 60;

    @TempDir Path folder;
    private Kernel kernel;
    private LogService log;

    @BeforeEach
    void start() {
        HostPort anyPort = new HostPort("127.0.0.1", 0);
        ControlSettings settings = SingleControl.settings(anyPort, folder, 1000);
        log = new LogService(settings);
        kernel =
                new Kernel()
                        .register(EventLoop.NAME, new EventLoop())
                        .register(LogService.NAME, log, EventLoop.NAME);
        kernel.start();
    }

    @AfterEach
    void stop() {
        kernel.stop();
    }

    private <T> T run(Supplier<Future<T>> action) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        kernel.find(EventLoop.NAME, EventLoop.class)
                .run(
                        () ->
                                action.get()
                                        .onSuccess(done::complete)
                                        .onFailure(done::completeExceptionally));
        return done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private Future<Long> proposeAccount(String name) {
        Change account =
                Change.newBuilder()
                        .setAccountPut(AccountPut.newBuilder().setAccountId(name))
                        .build();
        return log.propose("test", "", now -> List.of(account));
    }

    @Test
    void aProposalWhoseBuilderThrowsFailsAndTheNextOneIsAppended() throws Exception {
        Supplier<Future<Long>> broken =
                () ->
                        log.propose(
                                "test",
                                "",
                                now -> {
                                    throw new IllegalStateException("broken");
                                });
        assertThrows(ExecutionException.class, () -> run(broken));
        long before = log.state().configuration().version();
        assertEquals(before + 1, run(() -> proposeAccount("shop")));
    }

    @Test
    void proposalsThatWaitBehindAnAppendAllEndHoweverManyThereAre() throws Exception {
        List<Future<Long>> queued = new ArrayList<>();
        kernel.find(EventLoop.NAME, EventLoop.class)
                .runAndWait(() -> log.state().addListener(() -> enqueue(queued)));
        run(() -> proposeAccount("shop"));
        run(() -> Future.all(queued));
        assertEquals(QUEUED, queued.size());
    }

    private void enqueue(List<Future<Long>> queued) {
        while (queued.size() < QUEUED) {
            queued.add(log.propose("test", "", now -> List.of()));
        }
    }

    @Test
    void aProposalEndsThoughAListenerOfTheConfigurationThrows() throws Exception {
        kernel.find(EventLoop.NAME, EventLoop.class)
                .runAndWait(
                        () ->
                                log.state()
                                        .addListener(
                                                () -> {
                                                    throw new IllegalStateException("broken");
                                                }));
        long before = log.state().configuration().version();
        assertEquals(before + 1, run(() -> proposeAccount("shop")));
    }
}
