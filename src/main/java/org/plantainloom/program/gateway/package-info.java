/** The program that answers callers. */
package org.plantainloom.program.gateway;
