/** Tests of servers, clients and their meaning under faults. */
package org.plantainloom.transport;
