/** Stand-in of the users' platform for tests, the class archive and work on one machine. */
package org.plantainloom.platform.standin;
