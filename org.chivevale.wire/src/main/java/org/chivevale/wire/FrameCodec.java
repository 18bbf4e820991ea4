package org.chivevale.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.MessageToByteEncoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.io.IOException;
import java.util.List;
import org.chivevale.wire.proto.Frame;

/**
 * Encodes and decodes {@link Frame}s: a length prefix of four bytes, then the message.
 *
 * <p>Invariant: a received frame above {@link #MAX_FRAME_BYTES} closes its connection. Each
 * pipeline has its own handlers; nothing is shared between threads.
 */
final class FrameCodec {
    static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;
    private static final int LENGTH_BYTES = 4;

    private FrameCodec() {}

    static void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new Decoder());
        pipeline.addLast(new Encoder());
    }

    private static final class Decoder extends MessageToMessageDecoder<ByteBuf> {
        Decoder() {
            super(ByteBuf.class);
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out)
                throws IOException {
            out.add(Frame.parseFrom(new ByteBufInputStream(bytes)));
        }
    }

    private static final class Encoder extends MessageToByteEncoder<Frame> {
        Encoder() {
            super(Frame.class);
        }

        @Override
        protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out)
                throws IOException {
            out.writeInt(frame.getSerializedSize());
            frame.writeTo(new ByteBufOutputStream(out));
        }
    }
}
