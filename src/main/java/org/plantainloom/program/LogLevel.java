package org.plantainloom.program;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;

/** Least severe level that is logged. */
public enum LogLevel {
  /** Everything, each message included. */
  DEBUG,
  /** The time line and what an operator should know. */
  INFO,
  /** What needs a look. */
  WARN,
  /** What went wrong. */
  ERROR;

  /** Makes this the level of all loggers. */
  public void apply() {
    Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(name()));
  }
}
