/** Shared fixtures: virtual clock, small fakes at the interfaces, sessions. */
package org.plantainloom.support;
