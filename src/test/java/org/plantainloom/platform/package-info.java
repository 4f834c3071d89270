/** Tests of the adapter and of whole nodes against the stand-in of the platform. */
package org.plantainloom.platform;
