package org.plantainloom.transport.admin;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.plantainloom.state.TeamId;

/**
 * Bearer tokens of the operators and of the teams.
 *
 * @param operators the operators' token; empty means that no token is asked for
 * @param teams each team's token
 */
public record Tokens(String operators, SortedMap<TeamId, String> teams) {
  private static final String SCHEME = "Bearer ";

  /** Creates the tokens with a copy of the map. */
  public Tokens {
    teams = Collections.unmodifiableSortedMap(new TreeMap<>(teams));
  }

  /** Returns tokens that let everybody in. */
  public static Tokens none() {
    return new Tokens("", new TreeMap<>());
  }

  /** Returns whether the header's bearer may act for the operators. */
  public boolean allowsOperators(String authorization) {
    return operators.isEmpty() || matches(authorization, operators);
  }

  /** Returns whether the header's bearer may act for the team. */
  public boolean allowsTeam(String authorization, TeamId team) {
    String token = teams.get(team);
    boolean asTeam = token != null && matches(authorization, token);
    return asTeam || allowsOperators(authorization);
  }

  private static boolean matches(String authorization, String token) {
    byte[] given = (authorization == null ? "" : authorization).getBytes(UTF_8);
    byte[] wanted = (SCHEME + token).getBytes(UTF_8);
    return MessageDigest.isEqual(given, wanted);
  }
}
