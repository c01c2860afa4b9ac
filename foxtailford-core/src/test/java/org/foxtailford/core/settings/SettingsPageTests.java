package org.foxtailford.core.settings;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.Constraint;
import org.foxtailford.schema.DaemonSettings;
import org.testng.annotations.Test;

/** Checks that the settings page lists exactly the fields of the schema. */
public class SettingsPageTests {

  private static final Path PAGE = Path.of("..", "docs", "SETTINGS.md");

  @Test
  public void pageListsEveryFieldOfTheSchemaAndNoOther() throws IOException {
    List<String> expected = new ArrayList<>();
    addRows("", DaemonSettings.getDescriptor(), expected);
    addRows("", ConfigurationDocument.getDescriptor(), expected);
    List<String> rows =
        Files.readAllLines(PAGE).stream().filter(line -> line.startsWith("| `")).toList();
    assertThat(rows).containsExactlyElementsOf(expected);
  }

  private static void addRows(String prefix, Descriptor type, List<String> rows) {
    for (FieldDescriptor field : type.getFields()) {
      Constraint constraint = SettingsReader.constraintOf(field);
      String path = prefix + field.getJsonName() + (isList(field) ? "[]" : "");
      rows.add(
          String.format(
              "| `%s` | %s | %s | %s | %s |",
              path,
              typeOf(field),
              presence(field, constraint),
              range(constraint),
              constraint.getAbout()));
      if (field.getJavaType() == FieldDescriptor.JavaType.MESSAGE && !field.isMapField()) {
        addRows(path + ".", field.getMessageType(), rows);
      }
    }
  }

  private static boolean isList(FieldDescriptor field) {
    return field.isRepeated() && !field.isMapField();
  }

  private static String typeOf(FieldDescriptor field) {
    if (field.isMapField()) {
      return "texts by name";
    }
    switch (field.getJavaType()) {
      case MESSAGE:
        return isList(field) ? "list" : "object";
      case INT:
      case LONG:
        return "number";
      case STRING:
        return "text";
      default:
        return field.getJavaType().name().toLowerCase(Locale.ROOT);
    }
  }

  private static String presence(FieldDescriptor field, Constraint constraint) {
    if (constraint.getRequired()) {
      return "required";
    }
    if (field.getJavaType() == FieldDescriptor.JavaType.BOOLEAN
        && constraint.getDefaultValue().isEmpty()) {
      return "false";
    }
    return constraint.getDefaultValue().isEmpty() ? "-" : constraint.getDefaultValue();
  }

  private static String range(Constraint constraint) {
    if (!constraint.getPattern().isEmpty()) {
      return "`" + constraint.getPattern().replace("|", "\\|") + "`";
    }
    if (!constraint.hasMin() && !constraint.hasMax()) {
      return "-";
    }
    if (!constraint.hasMax()) {
      return constraint.getMin() + " or more";
    }
    return constraint.getMin() + " to " + constraint.getMax();
  }
}
