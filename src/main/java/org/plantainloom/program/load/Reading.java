package org.plantainloom.program.load;

/**
 * One reading of a scale in a collection shed.
 *
 * @param id identity of the reading
 * @param shed the shed
 * @param plucker the plucker
 * @param grams weight of the leaf
 */
record Reading(String id, String shed, String plucker, int grams) {}
