/** Tests of {@code plantainloom-node}. */
package org.plantainloom.program.node;
