package org.foxtailford.core.settings;

import com.google.protobuf.Message;
import java.util.Map;

/**
 * A document that conforms to its schema, with the line numbers of its values.
 *
 * @param message the document as a message
 * @param lines line number of each value by its path, starting at 1
 * @param <M> type of the message
 */
public record ParsedDocument<M extends Message>(M message, Map<String, Integer> lines) {

  /** Creates a document with a copy of the line numbers. */
  public ParsedDocument {
    lines = Map.copyOf(lines);
  }

  /** Returns the line number of a value, else of the nearest enclosing value, else 1. */
  public int lineOf(String path) {
    for (String current = path; !current.isEmpty(); current = parent(current)) {
      Integer line = lines.get(current);
      if (line != null) {
        return line;
      }
    }
    return 1;
  }

  private static String parent(String path) {
    int end = Math.max(path.lastIndexOf('.'), path.lastIndexOf('['));
    return path.substring(0, Math.max(end, 0));
  }
}
