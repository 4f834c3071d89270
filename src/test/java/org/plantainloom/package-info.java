/** Architecture tests that cover the whole code base. */
package org.plantainloom;
