package org.chivevale.proxy.internal.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.Frame;
import org.chivevale.wire.proto.RelayAnswer;

/** Hands the ends of its links to a test, by the port of the host. Not thread safe. */
public final class FakeRelayTransport implements RelayTransport {
    /** The newest link to each port. */
    public final Map<Integer, FakeChannel> channels = new HashMap<>();

    @Override
    public void connect(
            HostPort address,
            Consumer<Frame> received,
            Runnable closed,
            Consumer<Channel> connected) {
        channels.put(address.port(), new FakeChannel(received, closed, connected));
    }

    @Override
    public void close() {}

    /** The host's end of a link. */
    public static final class FakeChannel implements Channel {
        /** The frames that the host would have received. */
        public final List<Frame> sent = new ArrayList<>();

        private final Consumer<Frame> received;
        private final Runnable closed;
        private final Consumer<Channel> connected;
        private boolean isOpen = true;

        FakeChannel(Consumer<Frame> received, Runnable closed, Consumer<Channel> connected) {
            this.received = received;
            this.closed = closed;
            this.connected = connected;
        }

        @Override
        public void send(Frame frame) {
            sent.add(frame);
        }

        @Override
        public boolean isOpen() {
            return isOpen;
        }

        @Override
        public void close() {
            isOpen = false;
        }

        /** Completes the attempt to connect. */
        public void accept() {
            connected.accept(this);
        }

        /** Fails the attempt to connect. */
        public void refuse() {
            connected.accept(null);
        }

        /** Closes the link; the sender does not learn it yet. */
        public void cut() {
            isOpen = false;
        }

        /** Tells the sender that the link has closed. */
        public void reportClosed() {
            closed.run();
        }

        /** Answers a request. */
        public void answer(long correlationId, RelayAnswer.Builder answer) {
            received.accept(
                    Frame.newBuilder()
                            .setCorrelationId(correlationId)
                            .setRelayAnswer(answer)
                            .build());
        }

        /** Answers the request that was sent last. */
        public void answerLast(RelayAnswer.Builder answer) {
            answer(sent.get(sent.size() - 1).getCorrelationId(), answer);
        }
    }
}
