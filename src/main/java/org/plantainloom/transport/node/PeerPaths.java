package org.plantainloom.transport.node;

/** HTTP paths of the API between the system's own processes. */
public final class PeerPaths {
  /** Plans from the planner to rack owners, who reply with the statuses of their racks. */
  public static final String EXCHANGE = "/peer/v1/exchange";

  /** Routes from the planner to gateways. */
  public static final String ROUTES = "/peer/v1/routes";

  /** Notification from the administration API to the planner that a team's jobs changed. */
  public static final String JOBS_CHANGED = "/peer/v1/jobs-changed";

  /** The planner's snapshot, for the status pages of other schedulers. */
  public static final String SNAPSHOT = "/peer/v1/snapshot";

  private PeerPaths() {}
}
