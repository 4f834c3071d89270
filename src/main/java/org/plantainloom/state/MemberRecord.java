package org.plantainloom.state;

/**
 * A live process of the system, kept in the platform's store under a lease.
 *
 * @param id the process
 * @param role the program it runs
 * @param address host and port of its HTTP server
 * @param zone its availability zone
 * @param leaving whether it is stopping and takes on nothing new
 */
public record MemberRecord(
    MemberId id, MemberRole role, String address, ZoneName zone, boolean leaving) {}
