package org.foxtailford.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.foxtailford.schema.ConfigurationDocument;

/** Values in which two documents differ, sorted by path. Immutable. */
public final class ConfigurationDifference {

  private final List<Change> changes;

  private ConfigurationDifference(List<Change> changes) {
    this.changes = List.copyOf(changes);
  }

  /**
   * A value that differs.
   *
   * @param path path with items named by their name
   * @param before value in the first document; empty if it has none
   * @param after value in the second document; empty if it has none
   */
  public record Change(String path, Optional<String> before, Optional<String> after) {

    @Override
    public String toString() {
      return path + ": " + before.orElse("(none)") + " -> " + after.orElse("(none)");
    }
  }

  /** Compares two documents. */
  public static ConfigurationDifference between(
      ConfigurationDocument before, ConfigurationDocument after) {
    Map<String, String> old = ConfigurationDocuments.flatten(before);
    Map<String, String> next = ConfigurationDocuments.flatten(after);
    TreeSet<String> paths = new TreeSet<>(old.keySet());
    paths.addAll(next.keySet());
    List<Change> changes = new ArrayList<>();
    for (String path : paths) {
      Optional<String> from = Optional.ofNullable(old.get(path));
      Optional<String> to = Optional.ofNullable(next.get(path));
      if (!from.equals(to)) {
        changes.add(new Change(path, from, to));
      }
    }
    return new ConfigurationDifference(changes);
  }

  public List<Change> changes() {
    return changes;
  }

  /** Tells whether a value of an item, such as {@code dataCentres[dc-a]}, differs. */
  public boolean affects(String item) {
    return changes.stream().anyMatch(change -> change.path().startsWith(item));
  }
}
