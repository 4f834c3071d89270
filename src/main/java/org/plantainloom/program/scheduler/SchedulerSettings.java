package org.plantainloom.program.scheduler;

import java.util.SortedMap;
import java.util.TreeMap;
import org.plantainloom.program.CommonSettings;
import org.plantainloom.protocol.document.DocumentReader;
import org.plantainloom.protocol.document.InvalidDocumentException;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.ZoneName;
import org.plantainloom.transport.admin.Tokens;

/**
 * Settings of a scheduler.
 *
 * @param common settings shared by all programs
 * @param zone availability zone of the VM
 * @param store host and port of the platform's key-value service
 * @param vmList host and port of the platform's VM list service
 * @param tokens bearer tokens that the administration API accepts
 */
record SchedulerSettings(
    CommonSettings common, ZoneName zone, String store, String vmList, Tokens tokens) {

  static SchedulerSettings read(DocumentReader root) throws InvalidDocumentException {
    SchedulerSettings settings =
        new SchedulerSettings(
            CommonSettings.read(root),
            new ZoneName(root.name("zone")),
            root.text("store"),
            root.text("vmList"),
            root.has("tokens") ? tokens(root.object("tokens")) : Tokens.none());
    root.finish();
    return settings;
  }

  private static Tokens tokens(DocumentReader reader) {
    SortedMap<TeamId, String> teams = new TreeMap<>();
    for (DocumentReader team : reader.objects("teams")) {
      teams.put(new TeamId(team.name("team")), team.text("token"));
    }
    return new Tokens(reader.text("operators"), teams);
  }
}
