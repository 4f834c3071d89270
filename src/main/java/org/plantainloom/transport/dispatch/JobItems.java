package org.plantainloom.transport.dispatch;

import java.util.List;
import java.util.Optional;
import org.plantainloom.state.store.StoreItem;

/**
 * What the store holds of a job.
 *
 * @param job the job; empty if it is not stored
 * @param cancellation the cancellation; without a job, it keeps the job from being accepted
 */
record JobItems(Optional<StoreItem> job, Optional<StoreItem> cancellation) {
  /** Selects the items of a job. */
  static JobItems of(String jobId, List<StoreItem> items) {
    return new JobItems(find(StoreKeys.job(jobId), items), find(StoreKeys.cancel(jobId), items));
  }

  private static Optional<StoreItem> find(String key, List<StoreItem> items) {
    return items.stream().filter(item -> item.key().equals(key)).findFirst();
  }
}
