package org.plantainloom.transport.node;

/** Paths of the messages between the system's own processes. */
public final class PeerPaths {
  /** Plans from the planner to rack owners. */
  public static final String EXCHANGE = "/peer/v1/exchange";

  /** Routes from the planner to gateways. */
  public static final String ROUTES = "/peer/v1/routes";

  /** Word from the administration API to the planner that a team's jobs changed. */
  public static final String JOBS_CHANGED = "/peer/v1/jobs-changed";

  /** The planner's snapshot for other schedulers' status pages. */
  public static final String SNAPSHOT = "/peer/v1/snapshot";

  private PeerPaths() {}
}
