package org.plantainloom.transport.http;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.logging.RequestLog;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.AsciiString;
import java.util.Map;

/** Counts the bytes that a process sends and receives, headers included. */
@ChannelHandler.Sharable
public final class WireMeters extends ChannelDuplexHandler {
  private static final int HEADER_SEPARATORS = 4; // ": " and the line's end
  private static final int FIRST_LINE_BYTES = 14; // what HTTP/1.1 adds around method and path

  private final Meter received;
  private final Meter sent;

  /** Creates the meters {@code wire.received} and {@code wire.sent}. */
  public WireMeters(MetricRegistry metrics) {
    this.received = metrics.meter("wire.received");
    this.sent = metrics.meter("wire.sent");
  }

  /** Counts a finished exchange of a client, whose channels cannot be watched as a server's can. */
  void exchanged(RequestLog log) {
    sent.mark(headBytes(log.requestHeaders()) + log.requestLength());
    received.mark(headBytes(log.responseHeaders()) + log.responseLength());
  }

  private static long headBytes(HttpHeaders headers) {
    long bytes = FIRST_LINE_BYTES;
    for (Map.Entry<AsciiString, String> header : headers) {
      bytes += header.getKey().length() + header.getValue().length() + HEADER_SEPARATORS;
    }
    return bytes;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (message instanceof ByteBuf bytes) {
      received.mark(bytes.readableBytes());
    }
    super.channelRead(ctx, message);
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise)
      throws Exception {
    if (message instanceof ByteBuf bytes) {
      sent.mark(bytes.readableBytes());
    }
    super.write(ctx, message, promise);
  }
}
