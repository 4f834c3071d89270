/** Messages between the system's own processes and its operators. */
package org.plantainloom.protocol.message;
