package org.foxtailford.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.foxtailford.schema.ConfigurationDocument;

/** Values that differ between two configuration documents, sorted by path. Immutable. */
public final class ConfigurationDifference {

  private final List<Change> changes;

  private ConfigurationDifference(List<Change> changes) {
    this.changes = List.copyOf(changes);
  }

  /**
   * A value that differs between the two documents.
   *
   * @param path path of the value, in which list items are identified by name
   * @param before value in the first document; empty if absent there
   * @param after value in the second document; empty if absent there
   */
  public record Change(String path, Optional<String> before, Optional<String> after) {

    @Override
    public String toString() {
      return path + ": " + before.orElse("(none)") + " -> " + after.orElse("(none)");
    }
  }

  /** Returns the values in which {@code after} differs from {@code before}. */
  public static ConfigurationDifference between(
      ConfigurationDocument before, ConfigurationDocument after) {
    Map<String, String> oldValues = ConfigurationDocuments.flatten(before);
    Map<String, String> newValues = ConfigurationDocuments.flatten(after);
    TreeSet<String> paths = new TreeSet<>(oldValues.keySet());
    paths.addAll(newValues.keySet());
    List<Change> changes = new ArrayList<>();
    for (String path : paths) {
      Optional<String> from = Optional.ofNullable(oldValues.get(path));
      Optional<String> to = Optional.ofNullable(newValues.get(path));
      if (!from.equals(to)) {
        changes.add(new Change(path, from, to));
      }
    }
    return new ConfigurationDifference(changes);
  }

  /** Returns the differing values, sorted by path; empty if the documents are equal. */
  public List<Change> changes() {
    return changes;
  }

  /** Returns whether any value of an item, such as {@code dataCentres[dc-a]}, differs. */
  public boolean affects(String itemPath) {
    return changes.stream().anyMatch(change -> change.path().startsWith(itemPath));
  }
}
