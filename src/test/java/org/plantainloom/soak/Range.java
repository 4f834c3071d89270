package org.plantainloom.soak;

import java.util.Random;

/** A range of numbers, without its end. */
record Range(int min, int max) {
  int draw(Random random) {
    return min + random.nextInt(max - min);
  }
}
