package org.plantainloom.program.load;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Generates random readings; equal seeds give equal readings. */
final class ReadingGenerator {
  private static final int SHEDS = 24;
  private static final int PLUCKERS = 400;
  private static final int MIN_GRAMS = 800;
  private static final int GRAMS_RANGE = 14_000;

  private ReadingGenerator() {}

  static List<ScaleReading> generate(int seed, int count) {
    UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create((long) seed);
    List<ScaleReading> readings = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      readings.add(
          new ScaleReading(
              "reading-" + seed + "-" + i,
              "shed-" + random.nextInt(SHEDS),
              "plucker-" + random.nextInt(PLUCKERS),
              MIN_GRAMS + random.nextInt(GRAMS_RANGE)));
    }
    return readings;
  }
}
