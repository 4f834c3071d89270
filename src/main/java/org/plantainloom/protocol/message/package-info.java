/** Messages between the processes of the system, its operators and the key-value store. */
package org.plantainloom.protocol.message;
