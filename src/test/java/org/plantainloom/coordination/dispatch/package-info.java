/** Tests of the dispatcher's decisions against simulated workers in virtual time. */
package org.plantainloom.coordination.dispatch;
