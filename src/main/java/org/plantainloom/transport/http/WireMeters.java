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

/** Measures the bytes that a process sends and receives, including headers. */
@ChannelHandler.Sharable
public final class WireMeters extends ChannelDuplexHandler {
  private static final int HEADER_SEPARATOR_BYTES = 4; // ": " and the line end
  private static final int FIRST_LINE_BYTES = 14; // what HTTP/1.1 adds to method and path

  private final Meter received;
  private final Meter sent;

  /** Creates the meters {@code wire.received} and {@code wire.sent}. */
  public WireMeters(MetricRegistry metrics) {
    this.received = metrics.meter("wire.received");
    this.sent = metrics.meter("wire.sent");
  }

  /**
   * Counts a completed request of a client. Unlike a server's channels, those of a client offer no
   * place for this handler, so the bytes are computed from the request log.
   */
  void requestCompleted(RequestLog log) {
    sent.mark(headBytes(log.requestHeaders()) + log.requestLength());
    received.mark(headBytes(log.responseHeaders()) + log.responseLength());
  }

  private static long headBytes(HttpHeaders headers) {
    long bytes = FIRST_LINE_BYTES;
    for (Map.Entry<AsciiString, String> header : headers) {
      bytes += header.getKey().length() + header.getValue().length() + HEADER_SEPARATOR_BYTES;
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
