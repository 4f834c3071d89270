/** Tests of the platform adapter, and of whole nodes against the simulated platform. */
package org.plantainloom.platform;
