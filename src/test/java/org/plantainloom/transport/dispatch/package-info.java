/** Tests of a node's parts on their event loop. */
package org.plantainloom.transport.dispatch;
