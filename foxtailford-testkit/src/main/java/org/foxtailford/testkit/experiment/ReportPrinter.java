package org.foxtailford.testkit.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;

/** Writes reports, as a table for people or as JSON. Stateless. */
public final class ReportPrinter {

  private static final String ROW = "| %s | %s | %d | %.2f%% | %.1f | %.1f | %.1f | %s | %s |%n";
  private static final String HEAD =
      "| phase | service | requests | answered | p50 ms | p99 ms | max ms | unavailable key-s |"
          + " refusals by code |\n|---|---|---:|---:|---:|---:|---:|---:|---|\n";

  private ReportPrinter() {}

  /** Returns the report as text. */
  public static String toText(ExperimentReport report) {
    StringBuilder text = new StringBuilder(report.title()).append("\n\n").append(HEAD);
    report.services().forEach(figures -> text.append(row(figures)));
    text.append("\nRetries by reason, all services:\n");
    report.retries().stream()
        .map(retries -> "  " + retries.phase() + ": " + join(retries.byReason()) + "\n")
        .forEach(text::append);
    report.work().forEach(work -> text.append(describe(work)));
    return text.toString();
  }

  private static String row(ServiceFigures figures) {
    String unavailable =
        figures.unavailableKeySeconds().isPresent()
            ? String.format(Locale.ROOT, "%.2f", figures.unavailableKeySeconds().getAsDouble())
            : "-";
    return String.format(
        Locale.ROOT,
        ROW,
        figures.phase(),
        figures.service(),
        figures.requests(),
        figures.answeredPercent(),
        figures.p50Ms(),
        figures.p99Ms(),
        figures.maxMs(),
        unavailable,
        join(figures.refusals()));
  }

  private static String join(Map<?, Long> counts) {
    if (counts.isEmpty()) {
      return "-";
    }
    return counts.entrySet().stream()
        .map(entry -> entry.getKey() + ": " + entry.getValue())
        .collect(Collectors.joining(", "));
  }

  private static String describe(DataCentreWork work) {
    return String.format(
        "%s: last answer %s after the order to take it out, first %s after the order to bring it"
            + " in%n",
        work.dataCentre(), millis(work.lastAfterOutMs()), millis(work.firstAfterInMs()));
  }

  private static String millis(OptionalLong timeMs) {
    return timeMs.isPresent() ? timeMs.getAsLong() + " ms" : "never";
  }

  /** Returns the report as one JSON object. */
  public static String toJson(ExperimentReport report) {
    ObjectNode node = new ObjectMapper().createObjectNode().put("title", report.title());
    var services = node.putArray("services");
    report.services().forEach(figures -> put(services.addObject(), figures));
    var retries = node.putArray("retries");
    for (PhaseRetries phase : report.retries()) {
      ObjectNode counts = retries.addObject().put("phase", phase.phase()).putObject("byReason");
      phase.byReason().forEach(counts::put);
    }
    var work = node.putArray("work");
    report.work().forEach(dataCentre -> put(work.addObject(), dataCentre));
    return node.toPrettyString();
  }

  private static void put(ObjectNode node, ServiceFigures figures) {
    node.put("phase", figures.phase());
    node.put("service", figures.service());
    node.put("requests", figures.requests());
    node.put("answered", figures.answered());
    node.put("p50Ms", figures.p50Ms());
    node.put("p99Ms", figures.p99Ms());
    node.put("maxMs", figures.maxMs());
    figures
        .unavailableKeySeconds()
        .ifPresent(seconds -> node.put("unavailableKeySeconds", seconds));
    ObjectNode refusals = node.putObject("refusals");
    figures.refusals().forEach((code, count) -> refusals.put(Integer.toString(code), count));
  }

  private static void put(ObjectNode node, DataCentreWork work) {
    node.put("dataCentre", work.dataCentre());
    work.lastAfterOutMs().ifPresent(timeMs -> node.put("lastAfterOutMs", timeMs));
    work.firstAfterInMs().ifPresent(timeMs -> node.put("firstAfterInMs", timeMs));
  }
}
