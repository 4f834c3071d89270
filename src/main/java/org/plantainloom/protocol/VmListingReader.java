package org.plantainloom.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.plantainloom.state.VmListing;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerInfo;

/** Reads a listing of VMs entry by entry, so that an unreadable entry hides no other worker. */
public final class VmListingReader {
  // The parser skips an entry without recursion and without evaluating its numbers. The limits
  // apply when the entry alone is read; here, one entry beyond them would end the whole listing.
  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(Integer.MAX_VALUE)
                  .maxNumberLength(Integer.MAX_VALUE)
                  .maxNameLength(Integer.MAX_VALUE)
                  .build())
          .build();

  private final String text;
  private final JsonParser parser;
  private final BiConsumer<String, MalformedMessageException> onUnreadable;
  private final SortedMap<WorkerId, WorkerInfo> byId = new TreeMap<>();
  private long asOfMs = -1;

  private VmListingReader(
      String text, JsonParser parser, BiConsumer<String, MalformedMessageException> onUnreadable) {
    this.text = text;
    this.parser = parser;
    this.onUnreadable = onUnreadable;
  }

  /**
   * Reads a listing.
   *
   * @param onUnreadable receives the name and the error of each entry that names no usable worker
   * @throws MalformedMessageException if the text is not a listing
   */
  public static VmListing read(
      String text, BiConsumer<String, MalformedMessageException> onUnreadable) {
    try (JsonParser parser = FACTORY.createParser(text)) {
      return new VmListingReader(text, parser, onUnreadable).listing();
    } catch (IOException e) {
      throw MalformedMessageException.of(VmListing.class, e.getMessage(), e);
    }
  }

  private VmListing listing() throws IOException {
    require(parser.nextToken() == JsonToken.START_OBJECT, "another value than an object");
    boolean listed = false;
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String field = parser.currentName();
      JsonToken token = parser.nextToken();
      if (field.equals("asOfMs")) {
        require(token == JsonToken.VALUE_NUMBER_INT, "another value than a time");
        asOfMs = parser.getLongValue();
      } else if (field.equals("byId")) {
        require(token == JsonToken.START_OBJECT, "another value than the workers");
        readEntries();
        listed = true;
      } else {
        parser.skipChildren();
      }
    }
    require(listed && asOfMs >= 0, "no workers or no time");
    return new VmListing(asOfMs, byId);
  }

  private void readEntries() throws IOException {
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      JsonToken token = parser.nextToken();
      int start = (int) parser.currentTokenLocation().getCharOffset();
      parser.skipChildren();
      int end = (int) parser.currentLocation().getCharOffset();
      try {
        add(name, token == JsonToken.START_OBJECT ? text.substring(start, end) : "");
      } catch (MalformedMessageException e) {
        onUnreadable.accept(name, e);
      }
    }
  }

  private void add(String name, String entry) {
    WorkerInfo worker = Json.read(entry, WorkerInfo.class);
    if (!worker.id().value().equals(name)) {
      throw MalformedMessageException.of(WorkerInfo.class, "the name of another worker", null);
    }
    byId.put(worker.id(), worker);
  }

  private static void require(boolean condition, String found) {
    if (!condition) {
      throw MalformedMessageException.of(VmListing.class, found, null);
    }
  }
}
