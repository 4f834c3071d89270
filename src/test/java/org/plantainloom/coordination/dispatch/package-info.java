/** Tests of the dispatcher's decisions against model workers in virtual time. */
package org.plantainloom.coordination.dispatch;
