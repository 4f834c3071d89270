/** The administration API. */
package org.plantainloom.transport.admin;
