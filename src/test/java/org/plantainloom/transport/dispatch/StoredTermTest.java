package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.plantainloom.state.store.StoreItem;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which values are taken for the count of owners. */
public class StoredTermTest {
  private static final long REVISION = 40;

  @DataProvider
  public static Object[][] unreadableTerms() {
    return new Object[][] {
      {""},
      {" 7"},
      {"null"},
      {"{}"},
      {"7.5"},
      {"1e3"},
      {"0"},
      {"-1"},
      {"41"},
      {"9223372036854775807"},
      {"9223372036854775808"},
      {"[".repeat(200_000)}
    };
  }

  @Test(dataProvider = "unreadableTerms")
  public void should_not_read_a_value_that_no_owner_can_have_written(String value) {
    assertThat(StoredTerm.parse(new StoreItem("k", value, REVISION))).isEmpty();
  }

  @Test
  public void should_read_a_term_up_to_the_revision_of_its_item() {
    assertThat(StoredTerm.parse(new StoreItem("k", "1", REVISION))).hasValue(1);
    assertThat(StoredTerm.parse(new StoreItem("k", "40", REVISION))).hasValue(REVISION);
  }
}
