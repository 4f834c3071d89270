package org.plantainloom.transport.http;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import org.jboss.logging.Logger;
import org.plantainloom.protocol.MalformedMessageException;

/**
 * Logs what cannot be decoded once, however often it is read, and once more when it is readable
 * again.
 */
public final class DecodeErrorLog {
  private static final Logger LOG = Logger.getLogger(DecodeErrorLog.class);

  /** Most sources that are logged one by one, so that many damaged ones cannot flood the log. */
  private static final int MAX_SOURCES = 256;

  /** Longest logged reason; it may quote the damaged text, which may be megabytes long. */
  private static final int MAX_REASON_CHARS = 300;

  private final Set<String> unreadable = new LinkedHashSet<>();

  /** Logs that a source is unreadable, unless that has been logged. */
  public synchronized void failed(String source, MalformedMessageException error) {
    if (unreadable.size() >= MAX_SOURCES || !unreadable.add(source)) {
      return;
    }
    String message = error.getMessage();
    String reason = message.substring(0, Math.min(message.length(), MAX_REASON_CHARS));
    LOG.errorf("%s is unreadable and not used: %s", source, reason);
    if (unreadable.size() == MAX_SOURCES) {
      LOG.errorf("%d sources are unreadable, further ones are not logged", MAX_SOURCES);
    }
  }

  /** Logs that a source is readable again, if it was not. */
  public synchronized void readable(String source) {
    if (unreadable.remove(source)) {
      LOG.infof("%s is readable again", source);
    }
  }

  /** Forgets all sources but the given ones, because the others no longer exist. */
  public synchronized void retain(Collection<String> sources) {
    unreadable.retainAll(Set.copyOf(sources));
  }
}
