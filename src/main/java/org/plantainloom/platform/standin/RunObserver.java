package org.plantainloom.platform.standin;

/** Receives the events of the simulated workers, on the thread and at the time they occur. */
public interface RunObserver {
  /** A worker started a task; the payload is that of the start command. */
  void started(String task, String worker, String payload);

  /**
   * A task ended on a worker.
   *
   * @param outcome {@code done}, {@code failed}, {@code stopped}, {@code lapsed} (the worker's
   *     lease expired) or {@code gone} (the worker crashed)
   */
  void ended(String task, String worker, String outcome);

  /**
   * The report of a task's end was lost: the worker crashed or its lease expired before the end was
   * acknowledged.
   */
  void endReportLost(String task);
}
