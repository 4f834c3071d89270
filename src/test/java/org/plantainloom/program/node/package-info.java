/** Tests of {@code plantainloom-node} as a whole process. */
package org.plantainloom.program.node;
