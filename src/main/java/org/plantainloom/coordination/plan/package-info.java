/** Queue and placement: which task goes to which worker, and which has to give way. */
package org.plantainloom.coordination.plan;
