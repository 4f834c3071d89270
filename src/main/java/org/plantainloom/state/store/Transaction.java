package org.plantainloom.state.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An atomic change of several keys.
 *
 * <pre>{@code
 * Transaction.start().expectAbsent(key).write(key, value);
 * }</pre>
 */
public final class Transaction {
  private final Map<String, Long> expected = new LinkedHashMap<>();
  private final Map<String, String> writes = new LinkedHashMap<>();
  private final List<String> removals = new ArrayList<>();
  private long leaseId;
  private String leasedKey = "";

  private Transaction() {}

  /** Returns an empty transaction. */
  public static Transaction start() {
    return new Transaction();
  }

  /** Requires that a key does not exist. */
  public Transaction expectAbsent(String key) {
    return expect(key, 0);
  }

  /** Requires that a key has not changed since a revision. */
  public Transaction expect(String key, long revision) {
    expected.put(key, revision);
    return this;
  }

  /** Writes a key. */
  public Transaction write(String key, String value) {
    writes.put(key, value);
    return this;
  }

  /** Writes a key that is removed when the lease ends; at most one key per transaction. */
  public Transaction writeLeased(String key, String value, long newLeaseId) {
    leasedKey = key;
    leaseId = newLeaseId;
    return write(key, value);
  }

  /** Removes a key. */
  public Transaction remove(String key) {
    removals.add(key);
    return this;
  }

  /** Returns the expected revisions by key; 0 for a key that must not exist. */
  public Map<String, Long> expected() {
    return expected;
  }

  /** Returns the values to write by key. */
  public Map<String, String> writes() {
    return writes;
  }

  /** Returns the keys to remove. */
  public List<String> removals() {
    return removals;
  }

  /** Returns the id of the lease that a written key is bound to; 0 for none. */
  public long leaseOf(String key) {
    return key.equals(leasedKey) ? leaseId : 0;
  }
}
