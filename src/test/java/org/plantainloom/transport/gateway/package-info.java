/** Tests of the components of a gateway process. */
package org.plantainloom.transport.gateway;
