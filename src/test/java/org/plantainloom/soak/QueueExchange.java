package org.plantainloom.soak;

/**
 * A request to a queue, and how it ended.
 *
 * @param queue the name of the queue
 * @param life number of the start of the node's process
 */
record QueueExchange(String queue, int life, Exchange exchange) {
  private static final int NOT_FOUND = 404;

  /** Returns whether the node has answered that there is no such queue. */
  boolean isDenied() {
    return exchange.end() == Exchange.End.ANSWERED && exchange.status() == NOT_FOUND;
  }

  /** Returns whether the response tells by which configurations the request was handled. */
  boolean isTelling() {
    return isDenied() || exchange.isSuccess();
  }

  /** Returns whether a node with a configuration answers like this. */
  boolean isAllowedBy(ConfigVersion version) {
    return version.hasQueue(queue) == exchange.isSuccess();
  }

  @Override
  public String toString() {
    return "queue " + queue + ", life " + life + ": " + exchange;
  }
}
