package org.plantainloom.program.load;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Makes a dusk's readings from a seed. */
final class Readings {
  private static final int SHEDS = 24;
  private static final int PLUCKERS = 400;
  private static final int MIN_GRAMS = 800;
  private static final int SPREAD_GRAMS = 14_000;

  private Readings() {}

  static List<Reading> generate(int seed, int count) {
    UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create((long) seed);
    List<Reading> readings = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      readings.add(
          new Reading(
              "reading-" + seed + "-" + i,
              "shed-" + random.nextInt(SHEDS),
              "plucker-" + random.nextInt(PLUCKERS),
              MIN_GRAMS + random.nextInt(SPREAD_GRAMS)));
    }
    return readings;
  }
}
