package org.foxtailford.core.settings;

import com.google.protobuf.Message;
import java.util.Map;

/**
 * A document that matches its schema, with the lines that its values stand on.
 *
 * @param message the document
 * @param lines line of each value by its path, counted from 1
 * @param <M> type of the message
 */
public record ParsedDocument<M extends Message>(M message, Map<String, Integer> lines) {

  /** Copies the lines. */
  public ParsedDocument {
    lines = Map.copyOf(lines);
  }

  /** Returns the line of a value, or that of the nearest value around it. */
  public int lineOf(String path) {
    for (String p = path; !p.isEmpty(); p = parent(p)) {
      Integer line = lines.get(p);
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
