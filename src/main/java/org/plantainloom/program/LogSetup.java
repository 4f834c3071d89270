package org.plantainloom.program;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Writes JSON lines to standard output through a bounded queue.
 *
 * <p>When the output is slower than the decisions, lines are dropped, never waited for. Logback
 * finds this class as a service; a configuration in XML would cost a restarted node a fifth of its
 * processor time until it listens.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class LogSetup extends ContextAwareBase implements Configurator {
  /** Lines that may wait for the output; about a second of the busiest owner's. */
  private static final int QUEUE_LINES = 2_048;

  /** Creates the configurator; called by Logback. */
  public LogSetup() {}

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    JsonEncoder encoder = new JsonEncoder();
    encoder.setContext(context);
    encoder.setWithContext(false);
    encoder.setWithSequenceNumber(false);
    encoder.setWithNanoseconds(false);
    encoder.setWithMessage(false);
    encoder.setWithArguments(false);
    encoder.setWithFormattedMessage(true);
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setName("stdout");
    console.setEncoder(encoder);
    console.start();
    AsyncAppender queue = new AsyncAppender();
    queue.setContext(context);
    queue.setName("queue");
    queue.setQueueSize(QUEUE_LINES);
    queue.setNeverBlock(true);
    queue.addAppender(console);
    queue.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.INFO);
    root.addAppender(queue);
    context.getLogger("com.linecorp.armeria").setLevel(Level.WARN);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
