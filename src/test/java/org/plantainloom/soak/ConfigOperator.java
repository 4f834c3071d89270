package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import org.plantainloom.platform.standin.SimulatedPlatform;
import org.plantainloom.platform.standin.SimulatedQueue;

/** An operator that adds, drops and re-targets queues, and keeps when it did so. */
final class ConfigOperator {
  static final String FIRST_SERVICE = SimulatedQueue.FIRST.service();
  static final String SECOND_SERVICE = "service-2";

  /** Enough that a configuration takes several hundred kilobytes. */
  private static final int MANY_QUEUES = 2_000;

  private static final int MAX_QUEUES = 12;

  private final SimulatedPlatform platform;
  private final Random random;
  private final List<ConfigVersion> versions = new CopyOnWriteArrayList<>();

  /** The service of each queue, by its name. */
  private final Map<String, String> queues = new LinkedHashMap<>();

  private int namedQueues;
  private boolean manyQueues;

  ConfigOperator(SimulatedPlatform platform, Random random) {
    this.platform = platform;
    this.random = random;
    queues.put(SimulatedPlatform.QUEUE_NAME, FIRST_SERVICE);
    write();
  }

  /** Writes a configuration with some change. */
  synchronized void change() {
    List<String> changeable = changeable();
    int kind = random.nextInt(10);
    if (changeable.isEmpty() || (kind < 4 && queues.size() < MAX_QUEUES)) {
      addQueue();
      return;
    }
    String queue = changeable.get(random.nextInt(changeable.size()));
    if (kind < 7) {
      queues.remove(queue);
    } else if (kind < 9) {
      queues.compute(
          queue, (name, service) -> service.equals(FIRST_SERVICE) ? SECOND_SERVICE : FIRST_SERVICE);
    } else {
      manyQueues = !manyQueues;
    }
    write();
  }

  private void addQueue() {
    // Names are used once, so that a response tells by which versions it was given.
    queues.put("queue-" + namedQueues++, random.nextBoolean() ? FIRST_SERVICE : SECOND_SERVICE);
    write();
  }

  private List<String> changeable() {
    List<String> names = new ArrayList<>(queues.keySet());
    names.remove(SimulatedPlatform.QUEUE_NAME);
    return names;
  }

  private void write() {
    int version =
        versions.isEmpty()
            ? 1
            : versions.get(versions.size() - 1).version() + 1 + random.nextInt(3);
    List<SimulatedQueue> written = new ArrayList<>();
    queues.forEach(
        (name, service) ->
            written.add(
                name.equals(SimulatedPlatform.QUEUE_NAME)
                    ? SimulatedQueue.FIRST
                    : SimulatedQueue.of(name, service)));
    for (int i = 0; manyQueues && i < MANY_QUEUES; i++) {
      written.add(SimulatedQueue.of("unused-" + i, FIRST_SERVICE));
    }
    long sentMs = SoakRun.nowMs();
    platform.configure(version, written);
    versions.add(new ConfigVersion(version, sentMs, SoakRun.nowMs(), new HashMap<>(queues)));
  }

  /** Returns all versions up to now. */
  List<ConfigVersion> versions() {
    return List.copyOf(versions);
  }
}
