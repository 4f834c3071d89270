/**
 * Adapter to the users' platform: its node settings, store, workers, operator keys and HTTP API for
 * callers.
 *
 * <p>Only this package knows the platform's paths, headers and field names; it maps them to the
 * project's own types. It makes no scheduling decisions.
 */
package org.plantainloom.platform;
