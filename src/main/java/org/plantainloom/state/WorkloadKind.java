package org.plantainloom.state;

/** Whether a task serves requests or works through a batch. */
public enum WorkloadKind {
  /** A replica that answers requests until it is stopped. */
  SERVICE {
    @Override
    public boolean runsToCompletion() {
      return false;
    }
  },
  /** A part of a job that ends by itself and may be checkpointed. */
  BATCH {
    @Override
    public boolean runsToCompletion() {
      return true;
    }
  };

  /** Returns whether a task of this kind ends by itself. */
  public abstract boolean runsToCompletion();
}
