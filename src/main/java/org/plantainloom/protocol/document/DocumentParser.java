package org.plantainloom.protocol.document;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses JSON with comments into nodes with locations and reports duplicate keys as problems. */
final class DocumentParser {
  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .build();

  private final String file;
  private final JsonParser parser;
  private final List<Problem> problems;

  private DocumentParser(String file, JsonParser parser, List<Problem> problems) {
    this.file = file;
    this.parser = parser;
    this.problems = problems;
  }

  static LocatedNode parse(String file, String text, List<Problem> problems)
      throws InvalidDocumentException {
    try (JsonParser parser = FACTORY.createParser(text)) {
      DocumentParser documentParser = new DocumentParser(file, parser, problems);
      parser.nextToken();
      LocatedNode root = documentParser.node("");
      if (parser.nextToken() != null) {
        problems.add(
            new Problem(
                file, documentParser.line(), "(end)", "a single document", "further content"));
      }
      return root;
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
      problems.add(new Problem(file, line, "(syntax)", "JSON", e.getOriginalMessage()));
      throw InvalidDocumentException.of(problems);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private int line() {
    return parser.currentTokenLocation().getLineNr();
  }

  private LocatedNode node(String path) throws IOException {
    int line = line();
    JsonToken token = parser.currentToken();
    if (token == null) {
      return new LocatedNode(line, path, null);
    }
    Object value =
        switch (token) {
          case START_OBJECT -> object(path);
          case START_ARRAY -> list(path);
          case VALUE_STRING -> parser.getText();
          case VALUE_NUMBER_INT -> parser.getBigIntegerValue();
          case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
          case VALUE_TRUE -> true;
          case VALUE_FALSE -> false;
          default -> null;
        };
    return new LocatedNode(line, path, value);
  }

  private Map<String, LocatedNode> object(String path) throws IOException {
    Map<String, LocatedNode> fields = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String key = parser.currentName();
      int line = line();
      parser.nextToken();
      String childPath = path.isEmpty() ? key : path + "." + key;
      LocatedNode previous = fields.put(key, node(childPath));
      if (previous != null) {
        problems.add(
            new Problem(
                file, line, childPath, "each key once", "a duplicate of line " + previous.line()));
      }
    }
    return fields;
  }

  private List<LocatedNode> list(String path) throws IOException {
    List<LocatedNode> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(node(path + "[" + items.size() + "]"));
    }
    return items;
  }
}
