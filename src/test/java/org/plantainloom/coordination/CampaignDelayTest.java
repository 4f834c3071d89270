package org.plantainloom.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.plantainloom.coordination.membership.CampaignDelay;
import org.testng.annotations.Test;

/** Compares the delays of nodes that campaign at the same time, for each jitter. */
public class CampaignDelayTest {
  private static final int SEEDS = 1_000;

  @Test
  public void should_let_a_large_node_campaign_before_a_small_one_beside_it() {
    for (long seed = 0; seed < SEEDS; seed++) {
      assertThat(CampaignDelay.of(1.5, 0, seed)).isLessThan(CampaignDelay.of(0.2, 0, seed * 31));
    }
  }

  @Test
  public void should_prefer_a_node_near_the_store_among_like_ones() {
    for (long seed = 0; seed < SEEDS; seed++) {
      assertThat(CampaignDelay.of(1.5, 1, seed)).isLessThan(CampaignDelay.of(1.5, 8, seed));
    }
  }

  @Test
  public void should_spread_like_nodes() {
    assertThat(
            LongStream.range(0, SEEDS)
                .map(seed -> CampaignDelay.of(0.3, 0, seed))
                .distinct()
                .count())
        .isGreaterThan(100);
  }
}
