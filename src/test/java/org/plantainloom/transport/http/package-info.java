/** Tests of the HTTP client and server that all processes use. */
package org.plantainloom.transport.http;
