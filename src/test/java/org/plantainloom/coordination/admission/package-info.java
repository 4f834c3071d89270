/** Tests of the decisions about which requests are refused. */
package org.plantainloom.coordination.admission;
