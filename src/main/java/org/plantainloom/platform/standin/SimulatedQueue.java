package org.plantainloom.platform.standin;

/**
 * A queue of the simulated operator's configuration.
 *
 * @param name the queue's name
 * @param pathPrefix prefix of the paths of its jobs
 * @param service the service whose workers run its tasks
 */
public record SimulatedQueue(String name, String pathPrefix, String service) {
  /** The queue of a configuration that names no other. */
  public static final SimulatedQueue FIRST =
      new SimulatedQueue(
          SimulatedPlatform.QUEUE_NAME, SimulatedPlatform.JOB_PATH_PREFIX, "service");

  /** Creates a queue with a path of its own. */
  public static SimulatedQueue of(String name, String service) {
    return new SimulatedQueue(name, "/" + name + "/", service);
  }

  String route() {
    return "{\"name\":\""
        + name
        + "\",\"host\":\""
        + SimulatedPlatform.QUEUE_HOST
        + "\",\"prefix\":\""
        + pathPrefix
        + "\",\"timeout-ms\":3000,\"target-duration-ms\":300,\"priority\":0,\"service\":\""
        + service
        + "\",\"max-attempts\":3,\"stretch-factor\":1.5}";
  }
}
