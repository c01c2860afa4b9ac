package org.foxtailford.core.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.Constraint;
import org.foxtailford.schema.ConstraintsProto;

/**
 * Reads JSON with comments into a schema message and checks it against the schema's constraints.
 *
 * <p>All faults of a document are reported together, with their paths and lines. A key that is not
 * in the schema is a fault. Absent scalar fields are set to the schema's defaults. Thread-safe if
 * the supplier of builders is.
 *
 * @param <M> type of the message
 */
public final class SettingsReader<M extends Message> {

  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .build();

  private final Supplier<Message.Builder> newBuilder;
  private final ResultCode faultCode;

  /**
   * Creates a reader.
   *
   * @param newBuilder supplies empty builders of the message
   * @param faultCode result code for documents with faults
   */
  public SettingsReader(Supplier<Message.Builder> newBuilder, ResultCode faultCode) {
    this.newBuilder = Assert.notNull(newBuilder, "newBuilder");
    this.faultCode = Assert.notNull(faultCode, "faultCode");
  }

  /**
   * Reads and checks a document.
   *
   * @param text the document
   * @return the message, with defaults for absent fields
   * @throws InvalidSettingsException if the document has faults
   */
  public M read(String text) {
    return readWithLines(text).message();
  }

  /**
   * Reads and checks a document and keeps the line of each value, for the faults of further checks.
   *
   * @param text the document
   * @throws InvalidSettingsException if the document has faults
   */
  @SuppressWarnings("unchecked") // the supplier returns builders of M
  public ParsedDocument<M> readWithLines(String text) {
    Assert.notNull(text, "text");
    Message.Builder builder = newBuilder.get();
    List<SettingsFault> faults = new ArrayList<>();
    Map<String, Integer> lines = new HashMap<>();
    try (JsonParser parser = FACTORY.createParser(text)) {
      DocumentParser document = new DocumentParser(parser, faults, lines);
      parser.nextToken();
      document.readMessage(builder, "$");
      document.requireEnd();
    } catch (JsonProcessingException e) {
      faults.add(new SettingsFault("$", lineOf(e), "not valid JSON: " + e.getOriginalMessage()));
    } catch (IOException e) {
      faults.add(new SettingsFault("$", 1, "cannot be read: " + e.getMessage()));
    }
    if (!faults.isEmpty()) {
      throw new InvalidSettingsException(faultCode, faults);
    }
    return new ParsedDocument<>((M) builder.build(), lines);
  }

  private static int lineOf(JsonProcessingException e) {
    return e.getLocation() == null ? 1 : e.getLocation().getLineNr();
  }

  static Constraint constraintOf(FieldDescriptor field) {
    return field.getOptions().getExtension(ConstraintsProto.constraint);
  }

  /** Parses one document and collects its faults. */
  private static final class DocumentParser {

    private final JsonParser parser;
    private final List<SettingsFault> faults;
    private final Map<String, Integer> lines;

    DocumentParser(JsonParser parser, List<SettingsFault> faults, Map<String, Integer> lines) {
      this.parser = parser;
      this.faults = faults;
      this.lines = lines;
    }

    void requireEnd() throws IOException {
      if (parser.nextToken() != null) {
        fault("$", "content after the end of the document");
      }
    }

    void readMessage(Message.Builder builder, String path) throws IOException {
      if (parser.currentToken() != JsonToken.START_OBJECT) {
        fault(path, "must be an object");
        parser.skipChildren();
        return;
      }
      int line = line();
      Set<FieldDescriptor> seen = new HashSet<>();
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        readField(builder, path + "." + parser.currentName(), seen);
      }
      addAbsent(builder, path, line, seen);
    }

    private void readField(Message.Builder builder, String path, Set<FieldDescriptor> seen)
        throws IOException {
      String name = parser.currentName();
      Optional<FieldDescriptor> field =
          builder.getDescriptorForType().getFields().stream()
              .filter(f -> f.getJsonName().equals(name))
              .findFirst();
      if (field.isEmpty()) {
        fault(path, "unknown key; known keys are " + keysOf(builder));
      } else if (!seen.add(field.get())) {
        fault(path, "key occurs more than once");
      }
      parser.nextToken();
      if (field.isEmpty()) {
        parser.skipChildren();
      } else if (field.get().isMapField()) {
        readMap(builder, field.get(), path);
      } else if (field.get().isRepeated()) {
        readList(builder, field.get(), path);
      } else {
        readValue(builder, field.get(), path).ifPresent(v -> builder.setField(field.get(), v));
      }
    }

    private static String keysOf(Message.Builder builder) {
      return builder.getDescriptorForType().getFields().stream()
          .map(FieldDescriptor::getJsonName)
          .collect(Collectors.joining(", "));
    }

    private void readList(Message.Builder builder, FieldDescriptor field, String path)
        throws IOException {
      if (parser.currentToken() != JsonToken.START_ARRAY) {
        fault(path, "must be a list");
        parser.skipChildren();
        return;
      }
      for (int i = 0; parser.nextToken() != JsonToken.END_ARRAY; i++) {
        readValue(builder, field, path + "[" + i + "]")
            .ifPresent(value -> builder.addRepeatedField(field, value));
      }
    }

    private void readMap(Message.Builder builder, FieldDescriptor field, String path)
        throws IOException {
      if (parser.currentToken() != JsonToken.START_OBJECT) {
        fault(path, "must be an object");
        parser.skipChildren();
        return;
      }
      FieldDescriptor keyField = field.getMessageType().findFieldByName("key");
      FieldDescriptor valueField = field.getMessageType().findFieldByName("value");
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String key = parser.currentName();
        parser.nextToken();
        Message.Builder entry = builder.newBuilderForField(field);
        Optional<Object> value = readValue(entry, valueField, path + "." + key);
        if (value.isPresent()) {
          entry.setField(keyField, key).setField(valueField, value.get());
          builder.addRepeatedField(field, entry.build());
        }
      }
    }

    private Optional<Object> readValue(Message.Builder builder, FieldDescriptor field, String path)
        throws IOException {
      lines.put(path, line());
      if (field.getJavaType() == FieldDescriptor.JavaType.MESSAGE) {
        Message.Builder nested = builder.newBuilderForField(field);
        readMessage(nested, path);
        return Optional.of(nested.build());
      }
      JsonToken token = parser.currentToken();
      if (token.isStructStart()) {
        fault(path, "must be " + typeName(field));
        parser.skipChildren();
        return Optional.empty();
      }
      Optional<Object> value = scalar(field, token);
      if (value.isEmpty()) {
        fault(path, "must be " + typeName(field) + ", not " + parser.getText());
        return Optional.empty();
      }
      checkConstraint(field, value.get(), path);
      return value;
    }

    private Optional<Object> scalar(FieldDescriptor field, JsonToken token) throws IOException {
      switch (field.getJavaType()) {
        case STRING:
          return token == JsonToken.VALUE_STRING ? Optional.of(parser.getText()) : Optional.empty();
        case BOOLEAN:
          return token.isBoolean() ? Optional.of(parser.getBooleanValue()) : Optional.empty();
        case INT:
          if (token != JsonToken.VALUE_NUMBER_INT
              || parser.getNumberType() != JsonParser.NumberType.INT) {
            return Optional.empty();
          }
          return Optional.of(parser.getIntValue());
        case LONG:
          if (token != JsonToken.VALUE_NUMBER_INT
              || parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
            return Optional.empty();
          }
          return Optional.of(parser.getLongValue());
        case ENUM:
          return token == JsonToken.VALUE_STRING
              ? Optional.ofNullable(field.getEnumType().findValueByName(parser.getText()))
              : Optional.empty();
        default:
          throw new IllegalStateException("the schema must not use " + field.getJavaType());
      }
    }

    private void checkConstraint(FieldDescriptor field, Object value, String path) {
      Constraint constraint = constraintOf(field);
      if (value instanceof Number) {
        long number = ((Number) value).longValue();
        if (constraint.hasMin() && number < constraint.getMin()) {
          fault(path, "must be at least " + constraint.getMin() + ", not " + number);
        }
        if (constraint.hasMax() && number > constraint.getMax()) {
          fault(path, "must be at most " + constraint.getMax() + ", not " + number);
        }
      }
      if (value instanceof String
          && !constraint.getPattern().isEmpty()
          && !((String) value).matches(constraint.getPattern())) {
        fault(path, "must match " + constraint.getPattern() + ", not \"" + value + "\"");
      }
    }

    private void addAbsent(
        Message.Builder builder, String path, int line, Set<FieldDescriptor> seen) {
      for (FieldDescriptor field : builder.getDescriptorForType().getFields()) {
        if (seen.contains(field)) {
          continue;
        }
        Constraint constraint = constraintOf(field);
        if (constraint.getRequired()) {
          String message = "is missing; " + constraint.getAbout();
          faults.add(new SettingsFault(path + "." + field.getJsonName(), line, message));
        } else {
          SettingsDefaults.apply(builder, field);
        }
      }
    }

    private void fault(String path, String message) {
      faults.add(new SettingsFault(path, line(), message));
    }

    private int line() {
      return parser.currentTokenLocation().getLineNr();
    }

    private static String typeName(FieldDescriptor field) {
      switch (field.getJavaType()) {
        case STRING:
          return "a string";
        case BOOLEAN:
          return "true or false";
        case ENUM:
          return "one of " + field.getEnumType().getValues();
        default:
          return "a whole number";
      }
    }
  }
}
