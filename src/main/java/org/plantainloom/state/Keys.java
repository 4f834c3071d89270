package org.plantainloom.state;

/** Keys in the platform's key-value store. */
public final class Keys {
  /** Index of the configuration in force. */
  public static final String CONFIG_INDEX = "config/index";

  /** Prefix of the members and of the planner's record, so that a single call reads both. */
  public static final String MEMBERS = "members/";

  /** Record of the current planner. */
  public static final String PLANNER = MEMBERS + "planner";

  /** Prefix of the rack records. */
  public static final String RACKS = "racks/";

  private Keys() {}

  /** Returns the key of a team's configuration in one version; versions are immutable. */
  public static String teamConfig(TeamId team, String version) {
    return "config/" + team + "/" + version;
  }

  /** Returns the key of a team's job intents. */
  public static String jobs(TeamId team) {
    return "jobs/" + team;
  }

  /** Returns the key of a team's tasks. */
  public static String tasks(TeamId team) {
    return "tasks/" + team;
  }

  /** Returns the key of a rack's record. */
  public static String rack(RackId rack) {
    return RACKS + rack;
  }

  /** Returns the key of a member. */
  public static String member(MemberId member) {
    return MEMBERS + member;
  }
}
