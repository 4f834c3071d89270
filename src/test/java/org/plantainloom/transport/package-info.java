/** Tests of the administration API and of the gateway, in particular under faults. */
package org.plantainloom.transport;
