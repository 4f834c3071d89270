package org.plantainloom.support;

/**
 * Fault rates of a {@link SimulatedNetwork}, in percent of all calls.
 *
 * @param lostRequest calls whose request is lost, so they have no effect
 * @param lostReply calls that take effect but whose reply is lost
 * @param late calls that take effect only after the caller has timed out
 * @param maxDelayMs maximum delay of a message that is delivered
 */
public record MessageFaults(int lostRequest, int lostReply, int late, int maxDelayMs) {
  /** Returns fault rates of zero with a fixed delay of 1 ms. */
  public static MessageFaults none() {
    return new MessageFaults(0, 0, 0, 1);
  }
}
