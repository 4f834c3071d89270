/** Tests of the adapters to the platform. */
package org.plantainloom.transport.platform;
