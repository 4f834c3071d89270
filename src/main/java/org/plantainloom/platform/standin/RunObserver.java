package org.plantainloom.platform.standin;

/** Is told, at the moment it happens, what the workers of a stand-in do. */
public interface RunObserver {
  /** A worker began a task that was ordered with a payload. */
  void started(String task, String worker, String payload);

  /** A task ended at a worker: done, failed, stopped, lapsed or gone with the worker. */
  void ended(String task, String worker, String how);

  /** A task's end can no longer be acknowledged: the worker crashed or its lease lapsed first. */
  void endReportLost(String task);
}
