package org.plantainloom.platform.standin;

/** Receives the events of the simulated workers, on the thread and at the time they occur. */
public interface RunObserver {
  /** A worker started a run; the payload is that of the start command. */
  void started(ObservedRun run, String payload);

  /**
   * A run ended.
   *
   * @param outcome {@code done}, {@code failed}, {@code stopped}, {@code lapsed} (the worker's
   *     lease expired) or {@code gone} (the worker crashed)
   */
  void ended(ObservedRun run, String outcome);

  /** The end of a run was acknowledged: an owner has seen its number. */
  default void endAcknowledged(ObservedRun run) {}

  /**
   * The report of a run's end was lost: the worker crashed or its lease expired before the end was
   * acknowledged.
   */
  void endReportLost(ObservedRun run);
}
