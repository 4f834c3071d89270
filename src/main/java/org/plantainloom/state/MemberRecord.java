package org.plantainloom.state;

/**
 * A live process of the system, stored under a lease.
 *
 * @param id the process
 * @param role the program it runs
 * @param address host and port of its HTTP server
 * @param zone its availability zone
 * @param leaving whether it is shutting down and accepts no new work
 */
public record MemberRecord(
    MemberId id, MemberRole role, String address, ZoneName zone, boolean leaving) {}
