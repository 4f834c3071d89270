package org.plantainloom.transport.dispatch;

import java.util.Optional;
import java.util.regex.Pattern;

/** Keys of the nodes' own data in the store. */
final class StoreKeys {
  static final String PREFIX = "pl/";
  static final String OWNER = PREFIX + "owner";
  static final String TERM = PREFIX + "term";
  static final String FLEET = PREFIX + "fleet";

  /** When the owner sent the last confirmation that the store has carried out. */
  static final String CONFIRMED = PREFIX + "confirmed";

  /** The owners whose leases may still be valid at workers. */
  static final String UNSETTLED_OWNERS = PREFIX + "unsettled-owners";

  /** Accepted jobs and their cancellations; watched by the owner. */
  static final String JOBS = PREFIX + "job/";

  static final String PROGRESS = PREFIX + "progress/";
  private static final String CANCEL_SUFFIX = ".cancel";
  private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{16}");

  private StoreKeys() {}

  static String job(String id) {
    return JOBS + id;
  }

  static String cancel(String id) {
    return JOBS + id + CANCEL_SUFFIX;
  }

  static String progress(String id) {
    return PROGRESS + id;
  }

  static boolean isCancel(String key) {
    return key.endsWith(CANCEL_SUFFIX);
  }

  /**
   * Returns the job to which the key of a job, a cancellation or a progress belongs; empty if
   * another writer has put something else below the prefix.
   */
  static Optional<String> jobId(String key) {
    String prefix = key.startsWith(JOBS) ? JOBS : PROGRESS;
    String suffix = key.startsWith(JOBS) && isCancel(key) ? CANCEL_SUFFIX : "";
    if (!key.startsWith(prefix)) {
      return Optional.empty();
    }
    String id = key.substring(prefix.length(), key.length() - suffix.length());
    return JOB_ID.matcher(id).matches() ? Optional.of(id) : Optional.empty();
  }
}
