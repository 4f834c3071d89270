package org.plantainloom.support;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.slf4j.LoggerFactory;

/** Collects the warnings and errors that are logged while it is open. */
public final class CapturedLog implements AutoCloseable {
  private final List<String> lines = new CopyOnWriteArrayList<>();
  private final Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
  private final AppenderBase<ILoggingEvent> appender =
      new AppenderBase<>() {
        @Override
        protected void append(ILoggingEvent event) {
          if (event.getLevel().isGreaterOrEqual(Level.WARN)) {
            lines.add(event.getFormattedMessage());
          }
        }
      };

  private CapturedLog() {
    appender.start();
    root.addAppender(appender);
  }

  /** Starts collecting. */
  public static CapturedLog start() {
    return new CapturedLog();
  }

  /** Returns the lines so far, oldest first. */
  public List<String> lines() {
    return List.copyOf(lines);
  }

  @Override
  public void close() {
    root.detachAppender(appender);
    appender.stop();
  }
}
