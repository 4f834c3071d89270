package org.plantainloom.transport.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.ConfigIndex;
import org.plantainloom.state.Keys;
import org.plantainloom.state.ZoneName;
import org.plantainloom.support.Await;
import org.plantainloom.support.CapturedLog;
import org.plantainloom.support.DamagedEntries;
import org.plantainloom.support.WatchableStore;
import org.plantainloom.transport.http.ProcessContext;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the watcher with an index that another writer has damaged. */
public class ConfigWatcherTest {
  private static final int READS = 4;
  private static final ZoneName YUCHI = new ZoneName("nantou-yuchi");
  private static final ConfigIndex GOOD = ConfigIndex.empty().withZone(YUCHI, true, "change-1");

  @DataProvider
  public static Object[][] damaged() {
    return DamagedEntries.ALL.stream().map(e -> new Object[] {e}).toArray(Object[][]::new);
  }

  @Test(dataProvider = "damaged")
  public void should_log_an_unreadable_index_once_and_apply_the_next_readable_one(String damaged) {
    // given
    WatchableStore store = new WatchableStore();
    store.put(Keys.CONFIG_INDEX, damaged);
    List<ConfigIndex> applied = new CopyOnWriteArrayList<>();
    try (CapturedLog log = CapturedLog.start();
        ConfigWatcher watcher = new ConfigWatcher(ProcessContext.create("scheduler-1"), store)) {
      watcher.addListener(reading -> applied.add(reading.index()));
      // when
      for (int reads = 1; reads <= READS; reads++) {
        int expected = reads;
        watcher.refresh();
        assertThat(Await.until(() -> store.reads(Keys.CONFIG_INDEX) >= expected)).isTrue();
      }
      // then: the zones that are out are not known, so no reading confirms them
      assertThat(applied).isEmpty();
      assertThat(log.lines()).hasSize(1);
      // when
      store.put(Keys.CONFIG_INDEX, Json.write(GOOD));
      // then
      assertThat(Await.until(() -> applied.contains(GOOD))).isTrue();
    }
  }
}
