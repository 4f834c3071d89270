/** Documents that people write: JSON with comments, checked with line and path. */
package org.plantainloom.protocol.document;
