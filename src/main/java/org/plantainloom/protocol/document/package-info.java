/** Readers of hand-written documents in JSON with comments; problems have a line and a path. */
package org.plantainloom.protocol.document;
