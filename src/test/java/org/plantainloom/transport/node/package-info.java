/** Tests of the components of a scheduler process. */
package org.plantainloom.transport.node;
