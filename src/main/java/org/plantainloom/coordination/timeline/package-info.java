/** Bounded timeline of typed events. */
package org.plantainloom.coordination.timeline;
