package org.plantainloom.transport.admin;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.plantainloom.state.TeamId;

/**
 * Bearer tokens that authorize operators and teams.
 *
 * @param operators the operators' token; if empty, no token is required
 * @param teams each team's token
 */
public record Tokens(String operators, SortedMap<TeamId, String> teams) {
  private static final String SCHEME = "Bearer ";

  /** Copies the map. */
  public Tokens {
    teams = Collections.unmodifiableSortedMap(new TreeMap<>(teams));
  }

  /** Returns tokens that authorize every request. */
  public static Tokens none() {
    return new Tokens("", new TreeMap<>());
  }

  /** Returns whether an authorization header permits requests of operators. */
  public boolean allowsOperators(String authorization) {
    return operators.isEmpty() || matches(authorization, operators);
  }

  /** Returns whether an authorization header permits requests for a team. */
  public boolean allowsTeam(String authorization, TeamId team) {
    String token = teams.get(team);
    boolean asTeam = token != null && matches(authorization, token);
    return asTeam || allowsOperators(authorization);
  }

  private static boolean matches(String authorization, String token) {
    byte[] actual = (authorization == null ? "" : authorization).getBytes(UTF_8);
    byte[] expected = (SCHEME + token).getBytes(UTF_8);
    return MessageDigest.isEqual(actual, expected);
  }
}
