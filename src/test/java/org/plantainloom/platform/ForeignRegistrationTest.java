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

  /** Numbers out of range and values of another type. */
  public static class Values {
    @DataProvider
    public static Object[][] invalidNumbers() {
      return new Object[][] {
        {"1e400"},
        {"18446744073709583616"}, // 2^64 + 32000, which is 32000 if cut off to 64 bits
        {"9223372036854775807"},
        {"-1"},
        {"9".repeat(900)},
        {"\"7\""},
        {"true"},
        {"null"},
        {"[7]"}
      };
    }

    @Test(dataProvider = "invalidNumbers")
    public void should_ignore_a_registration_with_a_number_out_of_range(String number) {
      assertThat(readWith("cpu", number)).isEmpty();
      assertThat(readWith("mem-mb", number)).isEmpty();
      assertThat(readWith("gpu", number)).isEmpty();
      assertThat(readWith("born", number)).isEmpty();
      assertThat(readWith("server-time-ms", number)).isEmpty();
    }

    @Test
    public void should_ignore_a_registration_with_a_fractional_amount() {
      assertThat(readWith("cpu", "0.5")).isEmpty();
      assertThat(readWith("born", "0.5")).isEmpty();
    }

    @Test
    public void should_read_whole_numbers_in_any_notation() {
      assertThat(readWith("cpu", "3.2e4").orElseThrow().capacity().cpuMillis()).isEqualTo(32_000);
      assertThat(readWith("born", "1700000000000").orElseThrow().startedAtMs())
          .isEqualTo(1_700_000_000_000L);
    }

    @Test
    public void should_ignore_a_registration_with_labels_that_are_not_texts() {
      assertThat(readWith("labels", "[1,\"r1\"")).isEmpty();
      assertThat(readWith("labels", "[null,\"r1\"")).isEmpty();
      assertThat(readWith("labels", "[{},\"r1\"")).isEmpty();
    }

    @Test
    public void should_ignore_a_registration_that_is_followed_by_something_else() {
      assertThat(read(REGISTRATION + " {}")).isEmpty();
      assertThat(read(REGISTRATION + "x")).isEmpty();
    }
  }

  /** Sizes and depths. */
  public static class Sizes {
    /** Largest value that the store accepts. */
    private static final int MAX_VALUE_BYTES = 1 << 20;

    private static String withExtraField(String value) {
      return REGISTRATION.substring(0, REGISTRATION.length() - 1) + ",\"x\":" + value + "}";
    }

    @DataProvider
    public static Object[][] elements() {
      return new Object[][] {{"{}"}, {"[]"}, {"0"}, {"\"a\""}};
    }

    /** A parsed megabyte of empty objects takes half of the heap of a node. */
    @Test(dataProvider = "elements")
    public void should_not_parse_an_entry_that_is_too_large_for_a_registration(String element) {
      // given
      String elements = (element + ",").repeat(MAX_VALUE_BYTES / (element.length() + 1) - 400);
      // then
      assertThat(read(withExtraField("[" + elements + element + "]"))).isEmpty();
    }

    @DataProvider
    public static Object[][] depths() {
      return new Object[][] {{500}, {990}, {1_100}, {50_000}, {500_000}};
    }

    @Test(dataProvider = "depths")
    public void should_ignore_or_read_a_deeply_nested_entry_without_an_error(int depth)
        throws Exception {
      // given: a thread with the stack size of a node's threads
      String nested = "[".repeat(depth) + "]".repeat(depth);
      Optional<?>[] results = new Optional<?>[2];
      Throwable[] failure = new Throwable[1];
      Thread thread =
          new Thread(
              null,
              () -> {
                results[0] = read(withExtraField(nested));
                results[1] = readWith("address", nested);
              },
              "reader",
              STACK_BYTES);
      thread.setUncaughtExceptionHandler((t, e) -> failure[0] = e);
      // when
      thread.start();
      thread.join();
      // then
      assertThat(failure[0]).isNull();
      assertThat(results[0]).isNotNull();
      assertThat(results[1]).isEmpty();
    }

    private static final long STACK_BYTES = 256 << 10;
  }
}
