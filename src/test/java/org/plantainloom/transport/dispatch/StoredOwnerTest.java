package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which values are taken for the record of an owner. */
public class StoredOwnerTest {
  private static final long REVISION = 40;

  @DataProvider
  public static Object[][] unreadableOwners() {
    return new Object[][] {
      {""},
      {"null"},
      {"[]"},
      {"{}"},
      {"{\"node\":\"a\",\"address\":\"h:1\"}"},
      {"{\"node\":null,\"address\":\"h:1\",\"term\":3}"},
      {"{\"node\":\"a\",\"term\":3}"},
      {"{\"node\":\"a\",\"address\":\"h:1\",\"term\":3.5}"},
      {"{\"node\":\"a\",\"address\":\"h:1\",\"term\":-3}"},
      {"{\"node\":\"a\",\"address\":\"h:1\",\"term\":41}"},
      {"{\"node\":\"a\",\"address\":\"h:1\",\"term\":1e308}"},
      {"{\"node\":\"a\",\"address\":\"h:1\",\"term\":99999999999999999999}"},
      {"{\"node\":\"a\",\"address\":\"h:1\",\"term\":3}}"},
      {"[".repeat(200_000)},
      {"{\"node\":" + "[".repeat(200_000)},
      {"{\"other\":" + "{\"a\":".repeat(200_000)}
    };
  }

  @Test(dataProvider = "unreadableOwners")
  public void should_not_read_a_value_that_no_owner_can_have_written(String value) {
    assertThatThrownBy(() -> StoredOwner.parse(value, REVISION))
        .isInstanceOf(MalformedMessageException.class);
  }

  @Test
  public void should_read_the_record_of_an_owner() {
    // given
    OwnerRecord owner = new OwnerRecord("a", "h:1", REVISION);
    // then
    assertThat(StoredOwner.parse(Json.write(owner), REVISION)).isEqualTo(owner);
  }
}
