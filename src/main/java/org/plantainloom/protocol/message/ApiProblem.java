package org.plantainloom.protocol.message;

/**
 * One mistake in a request to the administration API.
 *
 * @param path where it is
 * @param message what was expected and found
 */
public record ApiProblem(String path, String message) {}
