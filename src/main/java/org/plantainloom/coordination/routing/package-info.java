/** Choice of an upstream worker for each request, slot sharing and retries. */
package org.plantainloom.coordination.routing;
