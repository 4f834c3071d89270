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
 * Configures Logback to write JSON lines to standard output through a bounded queue.
 *
 * <p>When the queue is full, lines are dropped, so that slow output never blocks a decision.
 * Logback finds this class as a service, because parsing an XML configuration would take a fifth of
 * the CPU time that a restarted node spends until it listens.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class LogSetup extends ContextAwareBase implements Configurator {
  /** Capacity of the queue in lines: about one second of output of the busiest rack owner. */
  private static final int QUEUE_LINES = 2_048;

  /** Creates the configurator; called by Logback through its service loader. */
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
