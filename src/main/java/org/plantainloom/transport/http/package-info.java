/** HTTP with JSON, based on Armeria's server and client. */
package org.plantainloom.transport.http;
