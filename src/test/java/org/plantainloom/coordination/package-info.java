/** Tests of the decisions. */
package org.plantainloom.coordination;
