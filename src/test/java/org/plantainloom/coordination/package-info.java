/** Tests of the decision logic in simulated runs. */
package org.plantainloom.coordination;
