package org.foxtailford.core.configuration;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.LabelledDataCentre;
import org.foxtailford.schema.LabelledVm;
import org.foxtailford.schema.ServiceDefinition;

/** Converts configuration documents to their canonical order and to a flat form. */
public final class ConfigurationDocuments {

  private static final String NAME_FIELD = "name";

  private ConfigurationDocuments() {}

  /** Returns the document with its services, VMs and data centres sorted by name. */
  public static ConfigurationDocument canonicalize(ConfigurationDocument document) {
    return ConfigurationDocument.newBuilder()
        .addAllServices(
            sorted(document.getServicesList(), Comparator.comparing(ServiceDefinition::getName)))
        .addAllVms(sorted(document.getVmsList(), Comparator.comparing(LabelledVm::getName)))
        .addAllDataCentres(
            sorted(
                document.getDataCentresList(), Comparator.comparing(LabelledDataCentre::getName)))
        .build();
  }

  private static <T> List<T> sorted(List<T> items, Comparator<T> order) {
    return items.stream().sorted(order).toList();
  }

  /**
   * Returns every value by its path, such as {@code services[pantry].kinds[check].worth}. List
   * items are identified by name rather than by index, so that paths do not depend on the order.
   */
  static Map<String, String> flatten(ConfigurationDocument document) {
    Map<String, String> values = new TreeMap<>();
    flatten("", document, values);
    return values;
  }

  private static void flatten(String prefix, Message message, Map<String, String> values) {
    message.getAllFields().forEach((field, value) -> flatten(prefix, field, value, values));
  }

  private static void flatten(
      String prefix, FieldDescriptor field, Object value, Map<String, String> values) {
    String path = prefix + field.getJsonName();
    if (!field.isRepeated()) {
      if (!field.getName().equals(NAME_FIELD)) {
        values.put(path, String.valueOf(value));
      }
      return;
    }
    for (Object item : (List<?>) value) {
      flattenItem(path, field, (Message) item, values);
    }
  }

  private static void flattenItem(
      String path, FieldDescriptor field, Message item, Map<String, String> values) {
    if (field.isMapField()) {
      Object key = item.getField(item.getDescriptorForType().findFieldByName("key"));
      Object text = item.getField(item.getDescriptorForType().findFieldByName("value"));
      values.put(path + "." + key, String.valueOf(text));
      return;
    }
    Object name = item.getField(item.getDescriptorForType().findFieldByName(NAME_FIELD));
    String itemPath = path + "[" + name + "]";
    values.put(itemPath, "present");
    flatten(itemPath + ".", item, values);
  }
}
