package org.foxtailford.testkit.experiment;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Counters of retries, summed over entry VMs. Immutable.
 *
 * @param byReason retries so far by the name of the result code that caused them
 */
public record RetryCounts(SortedMap<String, Long> byReason) {

  private static final Pattern SAMPLE =
      Pattern.compile(
          "^foxtailford_retries_total\\{[^}]*reason=\"(\\w+)\"[^}]*} (\\S+)$", Pattern.MULTILINE);

  /** Reads the counters from the metrics pages of every entry VM. */
  public static RetryCounts of(List<String> pages) {
    SortedMap<String, Long> counts = new TreeMap<>();
    for (String page : pages) {
      Matcher matcher = SAMPLE.matcher(page);
      while (matcher.find()) {
        counts.merge(matcher.group(1), (long) Double.parseDouble(matcher.group(2)), Long::sum);
      }
    }
    return new RetryCounts(counts);
  }

  /** Returns what was counted since an earlier reading. */
  public SortedMap<String, Long> since(RetryCounts earlier) {
    SortedMap<String, Long> grown = new TreeMap<>();
    byReason.forEach(
        (reason, count) -> {
          long more = count - earlier.byReason.getOrDefault(reason, 0L);
          if (more > 0) {
            grown.put(reason, more);
          }
        });
    return grown;
  }
}
