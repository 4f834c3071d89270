package org.plantainloom.soak;

import java.util.Map;

/**
 * A configuration that the operator has written.
 *
 * @param sentMs when it was sent to the store
 * @param ackMs when the store had acknowledged it
 * @param services the service of each queue, by the queue's name
 */
record ConfigVersion(int version, long sentMs, long ackMs, Map<String, String> services) {
  boolean hasQueue(String queue) {
    return services.containsKey(queue);
  }
}
