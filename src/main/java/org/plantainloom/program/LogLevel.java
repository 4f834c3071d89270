package org.plantainloom.program;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;

/** Minimum severity of the messages that are logged. */
public enum LogLevel {
  /** Everything, including diagnostics of single operations. */
  DEBUG,
  /** Timeline events and other information for operators. */
  INFO,
  /** Conditions that an operator should look into. */
  WARN,
  /** Failures. */
  ERROR;

  /** Sets this level on the root logger. */
  public void apply() {
    Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(name()));
  }
}
