/** Who is alive and which scheduler looks after which rack. */
package org.plantainloom.coordination.membership;
