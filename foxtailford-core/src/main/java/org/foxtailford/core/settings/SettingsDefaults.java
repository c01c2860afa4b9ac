package org.foxtailford.core.settings;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;

/** Sets absent fields to the defaults of the schema. */
public final class SettingsDefaults {

  private SettingsDefaults() {}

  /**
   * Sets a field to its default. A message field is set to a message of defaults; a repeated field
   * and a field without a default are left unset.
   *
   * @param builder message to modify
   * @param field field that is absent from the document
   */
  public static void apply(Message.Builder builder, FieldDescriptor field) {
    if (field.isRepeated()) {
      return;
    }
    if (field.getJavaType() == FieldDescriptor.JavaType.MESSAGE) {
      Message.Builder nested = builder.newBuilderForField(field);
      nested.getDescriptorForType().getFields().forEach(f -> apply(nested, f));
      builder.setField(field, nested.build());
      return;
    }
    String text = SettingsReader.constraintOf(field).getDefaultValue();
    if (!text.isEmpty()) {
      builder.setField(field, parse(field, text));
    }
  }

  /** Sets all fields of a message to their defaults and returns its builder. */
  public static <B extends Message.Builder> B applyAll(B builder) {
    builder.getDescriptorForType().getFields().forEach(field -> apply(builder, field));
    return builder;
  }

  private static Object parse(FieldDescriptor field, String text) {
    switch (field.getJavaType()) {
      case INT:
        return Integer.valueOf(text);
      case LONG:
        return Long.valueOf(text);
      case BOOLEAN:
        return Boolean.valueOf(text);
      default:
        return text;
    }
  }
}
