package org.chivevale.proxy.internal.rate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.wire.proto.RateAnswer;
import org.chivevale.wire.proto.RateGrant;
import org.chivevale.wire.proto.RateRequest;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that are lost since an admitted or rejected one sends another. */
class RateLimiterTest {
    private static final long SECOND_NANOS = 1_000_000_000;
    private static final int POLL_MILLIS = 20;
    private static final int VALID_MILLIS = 60_000;
    private static final ClientAccountId ACCOUNT = new ClientAccountId("account");

    private final ProxySettings settings =
            new ProxySettings(
                    "proxy",
                    "region",
                    "data-centre",
                    null,
                    null,
                    List.of(),
                    "",
                    new ProxySettings.Timing(1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1),
                    null);
    private final RateLimiter limiter = new RateLimiter(settings, new Directory(settings));
    private final Deque<Runnable> ticks = new ArrayDeque<>();
    private final Owner owner = new Owner();

    private static final class Owner implements RateRequests {
        private Consumer<RateAnswer> callback;
        private long lastGrant;

        @Override
        public boolean canRequestRates() {
            return callback == null;
        }

        @Override
        public void requestRates(RateRequest.Builder request, Consumer<RateAnswer> onAnswer) {
            callback = onAnswer;
        }

        boolean isAsked() {
            return callback != null;
        }

        void timeOut() {
            Consumer<RateAnswer> unanswered = callback;
            callback = null;
            unanswered.accept(RateAnswer.getDefaultInstance());
        }

        void answer(int tokens) {
            RateGrant.Builder grant =
                    RateGrant.newBuilder().setAccountId(ACCOUNT.value()).setTokens(tokens);
            if (tokens > 0) {
                grant.setGrantId(++lastGrant).setValidMillis(VALID_MILLIS);
            } else {
                grant.setRetryAfterMillis(1);
            }
            Consumer<RateAnswer> answered = callback;
            callback = null;
            answered.accept(RateAnswer.newBuilder().addGrants(grant).build());
        }
    }

    @BeforeEach
    void start() {
        limiter.start(owner, new SimpleMeterRegistry(), ticks::addLast);
    }

    private static long deadline() {
        return EventLoop.nowNanos() + 60 * SECOND_NANOS;
    }

    @Test
    void admittedRequestsThatSendOthersAreAllAdmittedOnce() {
        List<Integer> admitted = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            int number = i;
            limiter.admit(ACCOUNT, deadline())
                    .onSuccess(
                            done -> {
                                admitted.add(number);
                                for (int next = 1; next <= 3; next++) {
                                    int later = number * 3 + 20 + next - 1;
                                    limiter.admit(ACCOUNT, deadline())
                                            .onSuccess(ignored -> admitted.add(later));
                                }
                            });
        }
        owner.answer(30);
        owner.answer(60);
        List<Integer> expected = new ArrayList<>();
        for (int i = 0; i < 80; i++) {
            expected.add(i);
        }
        admitted.sort(null);
        assertEquals(expected, admitted);
    }

    /** Guards against an account that stays rejected after its owner was silent for long. */
    @Test
    void requestsThatAreRejectedWhileTheOwnerIsSilentAskItAgain() throws InterruptedException {
        while (!limiter.admit(ACCOUNT, EventLoop.nowNanos()).failed()) {
            runTicks();
            Thread.sleep(POLL_MILLIS);
        }
        owner.timeOut();
        assertTrue(limiter.admit(ACCOUNT, deadline()).failed());
        assertTrue(owner.isAsked());
        owner.answer(1);
        assertTrue(limiter.admit(ACCOUNT, deadline()).succeeded());
    }

    private void runTicks() {
        for (int i = ticks.size(); i > 0; i--) {
            ticks.removeFirst().run();
        }
    }

    @Test
    void aRejectedRequestThatSendsOneOfAnotherAccountDoesNotStopTheOthers() {
        List<String> rejected = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String number = "" + i;
            long past = EventLoop.nowNanos() - 1;
            limiter.admit(new ClientAccountId("account-" + i), past)
                    .onFailure(
                            failure -> {
                                rejected.add(number);
                                limiter.admit(new ClientAccountId("new-" + number), deadline());
                            });
        }
        ticks.removeFirst().run();
        assertEquals(3, rejected.size(), rejected.toString());
        assertTrue(ticks.size() > 0, "new requests wait, so there is a next tick");
    }
}
