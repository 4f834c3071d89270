/** Ownership of a rack's record: commitments, leases and releases. */
package org.plantainloom.coordination.rack;
