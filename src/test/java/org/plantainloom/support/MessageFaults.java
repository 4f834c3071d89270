package org.plantainloom.support;

/**
 * How often messages of a session go wrong, in percent.
 *
 * @param lostRequest the request never arrives
 * @param lostReply it takes effect but the answer never arrives
 * @param late it takes effect only after the caller has given up
 * @param maxDelayMs longest delay of a message that arrives
 */
public record MessageFaults(int lostRequest, int lostReply, int late, int maxDelayMs) {
  /** Returns faultless messages with a fixed short delay. */
  public static MessageFaults none() {
    return new MessageFaults(0, 0, 0, 1);
  }
}
