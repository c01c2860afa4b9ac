package org.foxtailford.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;
import org.foxtailford.core.result.ResultCodeException;

/** How far slices have moved between data centres, by what the asked entry VMs see. Immutable. */
final class HandOverView {

  private static final Slices NONE = new Slices(0, 0, 0, 0);

  private final Map<String, Slices> byDataCentre;

  /** Slices of one data centre. */
  private record Slices(long homes, long leaving, long arriving, long unowned) {

    /** VMs may see different stages of the same move; the earliest stage counts. */
    private Slices earlierOf(Slices other) {
      return new Slices(
          Math.max(homes, other.homes),
          Math.max(leaving, other.leaving),
          Math.max(arriving, other.arriving),
          Math.max(unowned, other.unowned));
    }
  }

  private HandOverView(Map<String, Slices> byDataCentre) {
    this.byDataCentre = byDataCentre;
  }

  /** Asks every endpoint; one that doesn't answer is left out. */
  static HandOverView read(OperatorClient client) {
    Map<String, Slices> found = new TreeMap<>();
    for (String endpoint : client.endpoints()) {
      try {
        JsonNode body = client.getFrom(endpoint, "/v1/data-centres").body();
        for (JsonNode dataCentre : body.path("dataCentres")) {
          found.merge(
              AbstractCommand.text(dataCentre, "name"), slices(dataCentre), Slices::earlierOf);
        }
      } catch (ResultCodeException e) {
        continue;
      }
    }
    return new HandOverView(found);
  }

  private static Slices slices(JsonNode dataCentre) {
    return new Slices(
        dataCentre.path("homeSlices").asLong(),
        dataCentre.path("leavingSlices").asLong(),
        dataCentre.path("arrivingSlices").asLong(),
        dataCentre.path("unownedSlices").asLong());
  }

  /** Returns the slices that are not yet at the data centre where they are to be, with an owner. */
  long pending() {
    return byDataCentre.values().stream().mapToLong(s -> s.leaving + s.unowned).sum();
  }

  void putInto(ObjectNode node) {
    byDataCentre.forEach(
        (name, slices) ->
            node.putObject(name)
                .put("homeSlices", slices.homes)
                .put("leavingSlices", slices.leaving)
                .put("arrivingSlices", slices.arriving)
                .put("unownedSlices", slices.unowned));
  }

  /** Prints a table, unless nobody knows a data centre. */
  void print(PrintStream out) {
    if (byDataCentre.isEmpty()) {
      return;
    }
    out.println();
    TextTable table = new TextTable("DATA-CENTRE", "HOME-SLICES", "LEAVING", "ARRIVING", "UNOWNED");
    byDataCentre.forEach((name, slices) -> table.add(cells(name, slices)));
    table.print(out);
  }

  private static String[] cells(String name, Slices slices) {
    return new String[] {
      name,
      Long.toString(slices.homes),
      Long.toString(slices.leaving),
      Long.toString(slices.arriving),
      Long.toString(slices.unowned)
    };
  }
}
