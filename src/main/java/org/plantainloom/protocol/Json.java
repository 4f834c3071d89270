package org.plantainloom.protocol;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.function.Function;
import org.plantainloom.state.HybridTimestamp;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.RackId;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.ZoneName;

/** Converts the records that are sent between processes or stored to JSON and back. */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .addModule(stringTypes())
          .annotationIntrospector(new RequiredComponents())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
          .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
          .serializationInclusion(JsonInclude.Include.NON_ABSENT)
          .build();

  private Json() {}

  /** Returns the JSON of a record. */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot write as JSON: " + value.getClass(), e);
    }
  }

  /** Returns the indented JSON of a record, for human readers. */
  public static String writePretty(Object value) {
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot write as JSON: " + value.getClass(), e);
    }
  }

  /**
   * Parses the JSON of a record.
   *
   * @throws MalformedMessageException if the text is not valid JSON of that type
   */
  public static <T> T read(String text, Class<T> type) {
    if (text == null) {
      throw MalformedMessageException.of(type, "no text", null);
    }
    try {
      return requirePresent(MAPPER.readValue(text, type), type);
    } catch (JsonProcessingException e) {
      throw MalformedMessageException.of(type, e.getOriginalMessage(), e);
    }
  }

  /**
   * Converts a part of a record, as {@link #read(String, Class)} does the whole.
   *
   * @throws MalformedMessageException if the part is not valid JSON of that type
   */
  public static <T> T read(JsonNode part, Class<T> type) {
    try {
      return requirePresent(MAPPER.treeToValue(part, type), type);
    } catch (JsonProcessingException e) {
      throw MalformedMessageException.of(type, e.getOriginalMessage(), e);
    }
  }

  private static <T> T requirePresent(T value, Class<T> type) {
    if (value == null) {
      throw MalformedMessageException.of(type, "null", null);
    }
    return value;
  }

  /** Maps the types that JSON represents as strings, both as values and as keys. */
  private static SimpleModule stringTypes() {
    SimpleModule module = new SimpleModule("names");
    module.setDeserializerModifier(new RecordRules());
    add(module, WorkerId.class, WorkerId::new);
    add(module, RackId.class, RackId::new);
    add(module, ZoneName.class, ZoneName::new);
    add(module, TeamId.class, TeamId::new);
    add(module, MemberId.class, MemberId::new);
    add(module, TaskId.class, TaskId::parse);
    add(module, HybridTimestamp.class, HybridTimestamp::parse);
    return module;
  }

  private static <T> void add(SimpleModule module, Class<T> type, Function<String, T> parse) {
    module.addSerializer(type, ToStringSerializer.instance);
    module.addKeySerializer(type, new ToStringKeySerializer<>(type));
    module.addDeserializer(
        type,
        new FromStringDeserializer<T>(type) {
          private static final long serialVersionUID = 1L;

          @Override
          protected T _deserialize(String value, DeserializationContext context) {
            return parse.apply(value);
          }
        });
    module.addKeyDeserializer(
        type,
        new KeyDeserializer() {
          @Override
          public Object deserializeKey(String key, DeserializationContext context) {
            return parse.apply(key);
          }
        });
  }

  private static final class ToStringKeySerializer<T> extends StdSerializer<T> {
    private static final long serialVersionUID = 1L;

    ToStringKeySerializer(Class<T> type) {
      super(type);
    }

    @Override
    public void serialize(T value, JsonGenerator generator, SerializerProvider provider)
        throws IOException {
      generator.writeFieldName(value.toString());
    }
  }
}
