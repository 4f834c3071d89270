/** Ownership of rack records: commitments, leases and releases. */
package org.plantainloom.coordination.rack;
