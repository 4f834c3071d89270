/** Tests of messages and documents. */
package org.plantainloom.protocol;
