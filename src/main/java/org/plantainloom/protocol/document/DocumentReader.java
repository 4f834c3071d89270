package org.plantainloom.protocol.document;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.plantainloom.state.Names;

/**
 * Reads one object of a document, field by field, and collects every mistake.
 *
 * <p>A field that is missing or wrong is noted and replaced by a harmless value, so that reading
 * goes on and all mistakes are reported at once:
 *
 * <pre>{@code
 * DocumentReader root = DocumentReader.parse("gateway.json", text);
 * String name = root.name("name");
 * int port = root.integer("port", 0, 65535);
 * root.finish();
 * }</pre>
 */
public final class DocumentReader {
  private final String file;
  private final LocatedNode node;
  private final Map<?, ?> fields;
  private final List<Problem> problems;
  private final Set<String> read = new HashSet<>();
  private final List<DocumentReader> children = new ArrayList<>();

  private DocumentReader(String file, LocatedNode node, List<Problem> problems) {
    this.file = file;
    this.node = node;
    this.problems = problems;
    this.fields = node.value() instanceof Map<?, ?> map ? map : Map.of();
  }

  /**
   * Parses a document whose root is an object.
   *
   * @param file the document's name, for messages
   * @param text the document
   * @throws InvalidDocumentException if the text is not JSON with comments
   */
  public static DocumentReader parse(String file, String text) throws InvalidDocumentException {
    List<Problem> problems = new ArrayList<>();
    LocatedNode root = DocumentParser.parse(file, text, problems);
    DocumentReader reader = new DocumentReader(file, root, problems);
    if (!(root.value() instanceof Map)) {
      reader.note(root, "an object");
    }
    return reader;
  }

  /** Returns whether the field is there. */
  public boolean has(String key) {
    read.add(key);
    return fields.containsKey(key);
  }

  /** Reads a text that must not be empty. */
  public String text(String key) {
    return field(key, "a text")
        .map(n -> n.value() instanceof String s && !s.isEmpty() ? s : note(n, "a text", ""))
        .orElse("");
  }

  /** Reads a text, or returns the default if the field is missing. */
  public String text(String key, String defaultValue) {
    return has(key) ? text(key) : defaultValue;
  }

  /** Reads a name that may become part of keys and paths. */
  public String name(String key) {
    String expected = "a name of 1 to 63 letters, digits, dots, dashes or underscores";
    return field(key, expected)
        .map(
            n ->
                n.value() instanceof String s && Names.isName(s)
                    ? s
                    : note(n, expected, PLACEHOLDER_NAME))
        .orElse(PLACEHOLDER_NAME);
  }

  private static final String PLACEHOLDER_NAME = "missing";

  /** Reads a whole number within bounds. */
  public int integer(String key, int min, int max) {
    String expected = "a whole number from " + min + " to " + max;
    return field(key, expected).map(n -> integerOf(n, expected, min, max)).orElse(min);
  }

  /** Reads a whole number within bounds, or returns the default if the field is missing. */
  public int integer(String key, int min, int max, int defaultValue) {
    return has(key) ? integer(key, min, max) : defaultValue;
  }

  private int integerOf(LocatedNode n, String expected, int min, int max) {
    boolean inRange =
        n.value() instanceof BigInteger i
            && i.compareTo(BigInteger.valueOf(min)) >= 0
            && i.compareTo(BigInteger.valueOf(max)) <= 0;
    return inRange ? ((BigInteger) n.value()).intValue() : note(n, expected, min);
  }

  /** Reads a number within bounds. */
  public double decimal(String key, double min, double max) {
    String expected = "a number from " + min + " to " + max;
    return field(key, expected)
        .map(
            n ->
                n.value() instanceof Number d && d.doubleValue() >= min && d.doubleValue() <= max
                    ? d.doubleValue()
                    : note(n, expected, min))
        .orElse(min);
  }

  /** Reads true or false, or returns the default if the field is missing. */
  public boolean flag(String key, boolean defaultValue) {
    if (!has(key)) {
      return defaultValue;
    }
    return field(key, "true or false")
        .map(n -> n.value() instanceof Boolean b ? b : note(n, "true or false", defaultValue))
        .orElse(defaultValue);
  }

  /** Reads one of an enum's constants, in any case. */
  public <E extends Enum<E>> E enumConstant(String key, Class<E> type) {
    E[] constants = type.getEnumConstants();
    String expected = "one of " + Arrays.toString(constants);
    return field(key, expected)
        .map(
            n ->
                Arrays.stream(constants)
                    .filter(c -> c.name().equalsIgnoreCase(String.valueOf(n.value())))
                    .findFirst()
                    .orElseGet(() -> note(n, expected, constants[0])))
        .orElse(constants[0]);
  }

  /** Reads a list of texts. */
  public List<String> texts(String key) {
    List<String> texts = new ArrayList<>();
    for (LocatedNode item : items(key)) {
      texts.add(item.value() instanceof String s ? s : note(item, "a text", ""));
    }
    return texts;
  }

  /** Reads a list of objects. */
  public List<DocumentReader> objects(String key) {
    List<DocumentReader> readers = new ArrayList<>();
    for (LocatedNode item : items(key)) {
      if (!(item.value() instanceof Map)) {
        note(item, "an object");
      }
      readers.add(child(item));
    }
    return readers;
  }

  /** Reads an object. */
  public DocumentReader object(String key) {
    Optional<LocatedNode> found = field(key, "an object");
    if (found.isPresent() && !(found.get().value() instanceof Map)) {
      note(found.get(), "an object");
    }
    return child(found.orElse(new LocatedNode(node.line(), pathOf(key), Map.of())));
  }

  private DocumentReader child(LocatedNode item) {
    DocumentReader reader = new DocumentReader(file, item, problems);
    children.add(reader);
    return reader;
  }

  private List<LocatedNode> items(String key) {
    Optional<LocatedNode> found = field(key, "a list");
    List<LocatedNode> items = new ArrayList<>();
    if (found.isPresent() && found.get().value() instanceof List<?> list) {
      list.forEach(i -> items.add((LocatedNode) i));
    } else {
      found.ifPresent(n -> note(n, "a list"));
    }
    return items;
  }

  /** Notes a mistake that only the caller can see. */
  public void addProblem(String key, String expected, String found) {
    Object value = fields.get(key);
    int line = value instanceof LocatedNode n ? n.line() : node.line();
    problems.add(new Problem(file, line, pathOf(key), expected, found));
  }

  /**
   * Checks that no unknown field is left.
   *
   * @throws InvalidDocumentException if the document has any mistake
   */
  public void finish() throws InvalidDocumentException {
    noteUnknownFields();
    if (!problems.isEmpty()) {
      problems.sort(Comparator.comparingInt(Problem::line));
      throw InvalidDocumentException.of(problems);
    }
  }

  private void noteUnknownFields() {
    for (Map.Entry<?, ?> field : fields.entrySet()) {
      if (!read.contains(field.getKey())) {
        LocatedNode unknown = (LocatedNode) field.getValue();
        String known = "one of the keys " + new TreeSet<>(read);
        problems.add(
            new Problem(
                file, unknown.line(), unknown.path(), known, "the unknown key " + field.getKey()));
      }
    }
    children.forEach(DocumentReader::noteUnknownFields);
  }

  private Optional<LocatedNode> field(String key, String expected) {
    read.add(key);
    if (fields.get(key) instanceof LocatedNode n) {
      return Optional.of(n);
    }
    if (node.value() instanceof Map) {
      problems.add(new Problem(file, node.line(), pathOf(key), expected, "nothing"));
    }
    return Optional.empty();
  }

  private String pathOf(String key) {
    return node.path().isEmpty() ? key : node.path() + "." + key;
  }

  private void note(LocatedNode wrong, String expected) {
    String path = wrong.path().isEmpty() ? "(root)" : wrong.path();
    problems.add(new Problem(file, wrong.line(), path, expected, wrong.shown()));
  }

  private <T> T note(LocatedNode wrong, String expected, T replacement) {
    note(wrong, expected);
    return replacement;
  }
}
