/** Decisions about which callers' requests are refused before any work is done for them. */
package org.plantainloom.coordination.admission;
