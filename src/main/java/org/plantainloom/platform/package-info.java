/**
 * Adapter to the users' platform: its settings, store, workers, operators' keys and callers' wire.
 *
 * <p>The platform's names are decoded here into the project's types and appear nowhere else.
 * Nothing is decided here.
 */
package org.plantainloom.platform;
