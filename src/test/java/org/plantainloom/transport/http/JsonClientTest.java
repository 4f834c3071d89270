package org.plantainloom.transport.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the client with addresses that name no process. */
public class JsonClientTest {
  private static final long TIMEOUT_MS = 10_000;

  @DataProvider
  public static Object[][] unusableAddresses() {
    return new Object[][] {
      {""},
      {":"},
      {"127.0.0.1:70000"},
      {"127.0.0.1:-1"},
      {"127.0.0.1:99999999999"},
      {"127.0.0.1:1:1"},
      {"[::1"},
      {"a b:1"},
      {"/path"},
      {"\u0000:1"},
    };
  }

  @Test(dataProvider = "unusableAddresses")
  public void should_report_a_missing_response_when_the_address_is_unusable(String address) {
    // given
    ProcessContext process = ProcessContext.create("scheduler");
    try (JsonClient client = JsonClient.create(process.clock(), process.metrics())) {
      // when
      HttpReply get = client.get(address, "/path", TIMEOUT_MS).join();
      HttpReply post = client.send(HttpMethod.POST, address, "/path", "{}", TIMEOUT_MS).join();
      // then
      assertThat(get.isMissing()).isTrue();
      assertThat(post.isMissing()).isTrue();
    }
  }
}
