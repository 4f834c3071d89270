package org.plantainloom.program.load;

/**
 * One reading of a scale in a collection shed.
 *
 * @param id identity of the reading
 * @param shed name of the shed
 * @param plucker name of the plucker
 * @param grams weight of the leaf
 */
record ScaleReading(String id, String shed, String plucker, int grams) {}
