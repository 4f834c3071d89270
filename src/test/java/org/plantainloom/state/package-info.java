/** Tests of the records and the functions on them. */
package org.plantainloom.state;
