/** HTTP headers, outcome codes and JSON conversion of the messages between processes. */
package org.plantainloom.protocol;
