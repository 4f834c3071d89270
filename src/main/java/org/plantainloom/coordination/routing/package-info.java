/** Choice of an upstream worker for each request, limits, retries. */
package org.plantainloom.coordination.routing;
