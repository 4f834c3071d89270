/** HTTP with JSON by Armeria's server and client. */
package org.plantainloom.transport.http;
