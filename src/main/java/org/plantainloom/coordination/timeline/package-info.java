/** Bounded record of typed events. */
package org.plantainloom.coordination.timeline;
