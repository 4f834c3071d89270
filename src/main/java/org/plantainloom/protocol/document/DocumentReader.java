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
 * Reads an object of a document field by field and collects all problems.
 *
 * <p>A missing or invalid field is recorded as a problem and replaced by a valid placeholder, so
 * that reading continues and all problems are reported at once:
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
  private final Set<String> knownKeys = new HashSet<>();
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
   * @param file name of the document, for messages
   * @param text the document
   * @throws InvalidDocumentException if the text is not JSON with comments
   */
  public static DocumentReader parse(String file, String text) throws InvalidDocumentException {
    List<Problem> problems = new ArrayList<>();
    LocatedNode root = DocumentParser.parse(file, text, problems);
    DocumentReader reader = new DocumentReader(file, root, problems);
    if (!(root.value() instanceof Map)) {
      reader.addProblem(root, "an object");
    }
    return reader;
  }

  /** Returns whether the field is present. */
  public boolean has(String key) {
    knownKeys.add(key);
    return fields.containsKey(key);
  }

  /** Reads a non-empty string. */
  public String text(String key) {
    return field(key, "a non-empty string")
        .map(
            n ->
                n.value() instanceof String s && !s.isEmpty()
                    ? s
                    : placeholder(n, "a non-empty string", ""))
        .orElse("");
  }

  /** Reads a non-empty string, or returns the default if the field is missing. */
  public String text(String key, String defaultValue) {
    return has(key) ? text(key) : defaultValue;
  }

  /** Reads a name that is valid in store keys and URL paths. */
  public String name(String key) {
    String expected = "a name of 1 to 63 letters, digits, dots, dashes or underscores";
    return field(key, expected)
        .map(
            n ->
                n.value() instanceof String s && Names.isName(s)
                    ? s
                    : placeholder(n, expected, PLACEHOLDER_NAME))
        .orElse(PLACEHOLDER_NAME);
  }

  private static final String PLACEHOLDER_NAME = "missing";

  /** Reads a whole number from {@code min} to {@code max}. */
  public int integer(String key, int min, int max) {
    String expected = "a whole number from " + min + " to " + max;
    return field(key, expected).map(n -> integerOf(n, expected, min, max)).orElse(min);
  }

  /** Reads a whole number in the range, or returns the default if the field is missing. */
  public int integer(String key, int min, int max, int defaultValue) {
    return has(key) ? integer(key, min, max) : defaultValue;
  }

  private int integerOf(LocatedNode n, String expected, int min, int max) {
    boolean inRange =
        n.value() instanceof BigInteger i
            && i.compareTo(BigInteger.valueOf(min)) >= 0
            && i.compareTo(BigInteger.valueOf(max)) <= 0;
    return inRange ? ((BigInteger) n.value()).intValue() : placeholder(n, expected, min);
  }

  /** Reads a number from {@code min} to {@code max}. */
  public double decimal(String key, double min, double max) {
    String expected = "a number from " + min + " to " + max;
    return field(key, expected)
        .map(
            n ->
                n.value() instanceof Number d && d.doubleValue() >= min && d.doubleValue() <= max
                    ? d.doubleValue()
                    : placeholder(n, expected, min))
        .orElse(min);
  }

  /** Reads a boolean, or returns the default if the field is missing. */
  public boolean flag(String key, boolean defaultValue) {
    if (!has(key)) {
      return defaultValue;
    }
    return field(key, "true or false")
        .map(
            n -> n.value() instanceof Boolean b ? b : placeholder(n, "true or false", defaultValue))
        .orElse(defaultValue);
  }

  /** Reads the name of an enum constant, ignoring case. */
  public <E extends Enum<E>> E enumConstant(String key, Class<E> type) {
    E[] constants = type.getEnumConstants();
    String expected = "one of " + Arrays.toString(constants);
    return field(key, expected)
        .map(
            n ->
                Arrays.stream(constants)
                    .filter(c -> c.name().equalsIgnoreCase(String.valueOf(n.value())))
                    .findFirst()
                    .orElseGet(() -> placeholder(n, expected, constants[0])))
        .orElse(constants[0]);
  }

  /** Reads a list of strings. */
  public List<String> texts(String key) {
    List<String> texts = new ArrayList<>();
    for (LocatedNode item : items(key)) {
      texts.add(item.value() instanceof String s ? s : placeholder(item, "a string", ""));
    }
    return texts;
  }

  /** Reads a list of objects. */
  public List<DocumentReader> objects(String key) {
    List<DocumentReader> readers = new ArrayList<>();
    for (LocatedNode item : items(key)) {
      if (!(item.value() instanceof Map)) {
        addProblem(item, "an object");
      }
      readers.add(child(item));
    }
    return readers;
  }

  /** Reads an object. */
  public DocumentReader object(String key) {
    Optional<LocatedNode> found = field(key, "an object");
    if (found.isPresent() && !(found.get().value() instanceof Map)) {
      addProblem(found.get(), "an object");
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
      found.ifPresent(n -> addProblem(n, "a list"));
    }
    return items;
  }

  /** Adds a problem that the caller found, such as a value that contradicts another one. */
  public void addProblem(String key, String expected, String found) {
    Object value = fields.get(key);
    int line = value instanceof LocatedNode n ? n.line() : node.line();
    problems.add(new Problem(file, line, pathOf(key), expected, found));
  }

  /**
   * Adds a problem for each field that was not read, here or in nested objects, and reports all
   * problems.
   *
   * @throws InvalidDocumentException if the document has any problem
   */
  public void finish() throws InvalidDocumentException {
    addUnknownFields();
    if (!problems.isEmpty()) {
      problems.sort(Comparator.comparingInt(Problem::line));
      throw InvalidDocumentException.of(problems);
    }
  }

  private void addUnknownFields() {
    for (Map.Entry<?, ?> field : fields.entrySet()) {
      if (!knownKeys.contains(field.getKey())) {
        LocatedNode unknown = (LocatedNode) field.getValue();
        String expected = "one of the keys " + new TreeSet<>(knownKeys);
        problems.add(
            new Problem(
                file,
                unknown.line(),
                unknown.path(),
                expected,
                "the unknown key " + field.getKey()));
      }
    }
    children.forEach(DocumentReader::addUnknownFields);
  }

  private Optional<LocatedNode> field(String key, String expected) {
    knownKeys.add(key);
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

  private void addProblem(LocatedNode invalid, String expected) {
    String path = invalid.path().isEmpty() ? "(root)" : invalid.path();
    problems.add(new Problem(file, invalid.line(), path, expected, invalid.describe()));
  }

  /** Adds a problem and returns the placeholder, with which reading continues. */
  private <T> T placeholder(LocatedNode invalid, String expected, T placeholder) {
    addProblem(invalid, expected);
    return placeholder;
  }
}
