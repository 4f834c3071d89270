package org.plantainloom.transport.dispatch;

/** Keys of the nodes' own data in the store. */
final class StoreKeys {
  static final String PREFIX = "pl/";
  static final String OWNER = PREFIX + "owner";
  static final String TERM = PREFIX + "term";
  static final String FLEET = PREFIX + "fleet";

  /** The owners whose leases may still be valid at workers. */
  static final String UNSETTLED_OWNERS = PREFIX + "unsettled-owners";

  /** Accepted jobs and their cancellations; watched by the owner. */
  static final String JOBS = PREFIX + "job/";

  static final String PROGRESS = PREFIX + "progress/";
  private static final String CANCEL_SUFFIX = ".cancel";

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

  static String jobId(String key) {
    String id = key.substring(key.lastIndexOf('/') + 1);
    return isCancel(key) ? id.substring(0, id.length() - CANCEL_SUFFIX.length()) : id;
  }
}
