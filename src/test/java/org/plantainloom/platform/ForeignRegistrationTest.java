package org.plantainloom.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.plantainloom.state.job.WorkerRegistration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that entries that another system left among the registrations name no worker. */
public class ForeignRegistrationTest {
  private static final String REGISTRATION =
      "{\"service\":\"s\",\"address\":\"10.0.0.1:8080\",\"zone\":\"z\",\"state\":\"ready\","
          + "\"capacity\":{\"cpu\":32000,\"mem-mb\":128000,\"gpu\":1},\"labels\":[\"a\",\"r1\"],"
          + "\"born\":7,\"server-time-ms\":9}";

  private static Optional<WorkerRegistration> read(String text) {
    return new PlatformCodec().worker("servers/i-1", text);
  }

  private static Optional<WorkerRegistration> readWith(String field, String value) {
    String text =
        REGISTRATION.replaceFirst("\"" + field + "\":[^,}]+", "\"" + field + "\":" + value);
    assertThat(text).isNotEqualTo(REGISTRATION);
    return read(text);
  }

  /** Addresses and ids. */
  public static class Targets {
    @Test
    public void should_read_a_registration_with_a_numeric_address() {
      assertThat(read(REGISTRATION)).isPresent();
      assertThat(readWith("address", "\"10.0.0.1:1\"")).isPresent();
      assertThat(readWith("address", "\"255.255.255.255:65535\"")).isPresent();
    }

    @DataProvider
    public static Object[][] unusableAddresses() {
      return new Object[][] {
        {"10.0.0.1:0"},
        {"10.0.0.1:65536"},
        {"10.0.0.1:99999"},
        {"10.0.0.1:99999999999999"},
        {"10.0.0.1:-1"},
        {"10.0.0.1:+1"},
        {"10.0.0.1:"},
        {"10.0.0.1"},
        {"10.0.0.1:1:1"},
        {"10.0.0.1:1/x"},
        {"10.0.0.1:1#"},
        {"10.0.0.1:1 "},
        {"u@10.0.0.1:1"},
        {"256.1.1.1:1"},
        {"10.0.0:1"},
        {"host:1"},
        {"a b:1"},
        {":1"},
        {":"},
        {""},
        {"[::1"},
        {"10.0.0.1:\uff11"},
        {"10.0.0.1:1\\n"},
        {"10.0.0.1:1\\u0000"},
        {"\\ud800:1"},
      };
    }

    @Test(dataProvider = "unusableAddresses")
    public void should_ignore_a_registration_whose_address_no_request_can_be_sent_to(
        String address) {
      assertThat(readWith("address", "\"" + address + "\"")).isEmpty();
    }

    @DataProvider
    public static Object[][] unusableKeys() {
      return new Object[][] {
        {"servers/"},
        {"servers"},
        {"null"},
        {""},
        {"servers/a\nb"},
        {"servers/a\r\nx: y"},
        {"servers/\u0000"},
        {"servers/a b"},
        {"servers/\u00fc"},
        {"servers/\ud800"}
      };
    }

    @Test(dataProvider = "unusableKeys")
    public void should_ignore_a_registration_whose_id_no_request_can_name(String key) {
      assertThat(new PlatformCodec().worker(key, REGISTRATION)).isEmpty();
    }
  }
}
