/** Port to a store with transactions, leases and watches. */
package org.plantainloom.state.store;
