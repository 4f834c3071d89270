/** The administration API for teams and operators. */
package org.plantainloom.transport.admin;
