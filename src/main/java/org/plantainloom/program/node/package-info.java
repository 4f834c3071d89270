/** {@code plantainloom-node}, the program that runs on each VM of the users' platform. */
package org.plantainloom.program.node;
