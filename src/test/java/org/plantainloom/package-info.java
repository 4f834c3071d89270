/** Tests of rules over the whole code base. */
package org.plantainloom;
