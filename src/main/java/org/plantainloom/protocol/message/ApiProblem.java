package org.plantainloom.protocol.message;

/**
 * A problem in a request to the administration API.
 *
 * @param path path of the value in the request
 * @param message what was expected and found
 */
public record ApiProblem(String path, String message) {}
