/** Live members, and the assignment of racks and the planner role to schedulers. */
package org.plantainloom.coordination.membership;
