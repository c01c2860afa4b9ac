package org.foxtailford.testkit.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.foxtailford.core.util.Assert;
import org.foxtailford.testkit.scenario.ScenarioExpectation.Kind;
import org.foxtailford.testkit.scenario.ScenarioFault.Action;

/** Reads the scenario language, one statement a line. docs/SCENARIOS.md describes it. */
public final class ScenarioParser {

  private static final String TIME = "(\\d+)(ms|s)";
  private static final String DATA_CENTRE = "dc-[a-z0-9]+";
  private static final String DATA_CENTRES = "(" + DATA_CENTRE + "(?:, *" + DATA_CENTRE + ")*)";
  private static final String NODE =
      "(?:entry-\\d+|upstream-\\d+|table|leader of " + DATA_CENTRE + "|leader|" + DATA_CENTRE + ")";
  private static final String PLACE = "upstream-\\d+|" + DATA_CENTRE;
  private static final String NODES = "(" + NODE + "(?:, *" + NODE + ")*)";

  /** A form of statement and what it enters. */
  private record Form(Pattern pattern, String example, Entry entry) {}

  /** Enters a matched statement into the scenario that is being read. */
  @FunctionalInterface
  private interface Entry {
    void enter(Reading reading, Matcher words);
  }

  private static final List<Form> FORMS =
      List.of(
          form("title: (.+)", "title: loss of an upstream", (r, m) -> r.title = m.group(1)),
          form("seed: (\\d+)", "seed: 7", (r, m) -> r.seed = Long.parseLong(m.group(1))),
          form("length: " + TIME, "length: 20s", (r, m) -> r.lengthMs = timeMs(m, 1)),
          form(
              "data centres: " + DATA_CENTRES,
              "data centres: dc-a, dc-b, dc-c",
              (r, m) -> r.dataCentres = names(m.group(1))),
          form("entry VMs: (\\d+)", "entry VMs: 3", (r, m) -> r.entryVms = number(m)),
          form("upstreams: (\\d+)", "upstreams: 4", (r, m) -> r.upstreams = number(m)),
          form("slices: (\\d+)", "slices: 16", (r, m) -> r.slices = number(m)),
          form(
              "load: (\\d+)/s (idempotent|non-idempotent)",
              "load: 50/s idempotent",
              ScenarioParser::enterLoad),
          form(
              "at " + TIME + ": (lose|pause) " + NODES + " for " + TIME,
              "at 5s: lose upstream-1 for 4s",
              ScenarioParser::enterFault),
          form(
              "at " + TIME + ": cut (" + NODE + ") (from|one way to) " + NODES + " for " + TIME,
              "at 5s: cut entry-0 from table, upstream-1 for 4s",
              ScenarioParser::enterCut),
          form(
              "at " + TIME + ": take out " + DATA_CENTRES + " for " + TIME,
              "at 5s: take out dc-b for 6s",
              (r, m) ->
                  r.faults.add(
                      new ScenarioFault(
                          timeMs(m, 1), timeMs(m, 4), Action.TAKE_OUT, names(m.group(3))))),
          form(
              "at " + TIME + ": disturb messages for " + TIME,
              "at 5s: disturb messages for 4s",
              (r, m) ->
                  r.faults.add(
                      new ScenarioFault(timeMs(m, 1), timeMs(m, 3), Action.DISTURB, List.of()))),
          form(
              "expect: (one owner|all owned|no double run|no false not-run|no reverted configuration)",
              "expect: one owner",
              ScenarioParser::enterExpectation),
          form(
              "expect: served again within " + TIME + " of " + TIME,
              "expect: served again within 2s of 5s",
              (r, m) -> r.expectations.add(within(Kind.SERVED_AGAIN, m))),
          form(
              "expect: configuration in force within " + TIME + " of " + TIME,
              "expect: configuration in force within 3s of 5s",
              (r, m) -> r.expectations.add(within(Kind.IN_FORCE, m))),
          form(
              "expect: no new work at (" + PLACE + ") from " + TIME + " to " + TIME,
              "expect: no new work at dc-b from 8s to 11s",
              (r, m) ->
                  r.expectations.add(
                      new ScenarioExpectation(
                          Kind.NO_NEW_WORK, m.group(1), 0, timeMs(m, 2), timeMs(m, 4)))),
          form(
              "expect: (\\d+)% answered at home in ("
                  + DATA_CENTRE
                  + ") from "
                  + TIME
                  + " to "
                  + TIME,
              "expect: 90% answered at home in dc-b from 5s to 9s",
              ScenarioParser::enterAnsweredAtHome),
          form(
              "expect: (\\d+)% answered",
              "expect: 90% answered",
              (r, m) -> r.expectations.add(ScenarioExpectation.of(Kind.ANSWERED, number(m)))));

  /** A scenario that is being read. */
  private static final class Reading {
    private String title = "";
    private long seed = 1;
    private long lengthMs;
    private List<String> dataCentres = List.of("dc-a");
    private int entryVms = 2;
    private int upstreams = 3;
    private int slices = 8;
    private final List<ScenarioLoad> loads = new ArrayList<>();
    private final List<ScenarioFault> faults = new ArrayList<>();
    private final List<ScenarioExpectation> expectations = new ArrayList<>();
  }

  private static Form form(String pattern, String example, Entry entry) {
    return new Form(Pattern.compile(pattern), example, entry);
  }

  /**
   * Reads a scenario.
   *
   * @param text content of its file
   * @throws ScenarioSyntaxException if a line is not a statement or something is missing
   */
  public Scenario parse(String text) {
    Assert.notNull(text, "text");
    Reading reading = new Reading();
    List<String> lines = text.lines().toList();
    for (int i = 0; i < lines.size(); i++) {
      String statement = lines.get(i).replaceFirst("#.*", "").strip();
      if (!statement.isEmpty()) {
        enter(reading, statement, i + 1);
      }
    }
    require(!reading.title.isEmpty(), lines.size(), "title is missing");
    require(reading.lengthMs > 0, lines.size(), "length is missing");
    require(!reading.expectations.isEmpty(), lines.size(), "nothing is expected");
    requireKnownDataCentres(reading, lines.size());
    return new Scenario(
        reading.title,
        reading.seed,
        reading.lengthMs,
        reading.dataCentres,
        reading.entryVms,
        reading.upstreams,
        reading.slices,
        reading.loads,
        reading.faults,
        reading.expectations);
  }

  private static void enter(Reading reading, String statement, int line) {
    for (Form form : FORMS) {
      Matcher words = form.pattern().matcher(statement);
      if (words.matches()) {
        form.entry().enter(reading, words);
        return;
      }
    }
    String first = statement.split("[ :]", 2)[0];
    List<String> examples =
        FORMS.stream().map(Form::example).filter(e -> e.startsWith(first)).toList();
    String hint = examples.isEmpty() ? "" : "; examples: " + String.join(" | ", examples);
    throw new ScenarioSyntaxException(line, "not a statement: \"" + statement + "\"" + hint);
  }

  private static void requireKnownDataCentres(Reading reading, int line) {
    Stream<String> places =
        Stream.concat(
            reading.faults.stream().flatMap(fault -> fault.targets().stream()),
            reading.expectations.stream().map(ScenarioExpectation::place));
    places
        .map(place -> place.replace("leader of ", ""))
        .filter(place -> place.startsWith("dc-"))
        .forEach(p -> require(reading.dataCentres.contains(p), line, "no data centre " + p));
  }

  private static void require(boolean condition, int line, String message) {
    if (!condition) {
      throw new ScenarioSyntaxException(line, message);
    }
  }

  private static void enterLoad(Reading reading, Matcher words) {
    reading.loads.add(new ScenarioLoad(number(words), words.group(2).equals("idempotent")));
  }

  private static void enterFault(Reading reading, Matcher words) {
    Action action = Action.valueOf(words.group(3).toUpperCase(Locale.ROOT));
    reading.faults.add(
        new ScenarioFault(timeMs(words, 1), timeMs(words, 5), action, names(words.group(4))));
  }

  private static void enterCut(Reading reading, Matcher words) {
    Action action = words.group(4).equals("from") ? Action.CUT : Action.CUT_ONE_WAY;
    List<String> targets = new ArrayList<>(List.of(words.group(3)));
    targets.addAll(names(words.group(5)));
    reading.faults.add(new ScenarioFault(timeMs(words, 1), timeMs(words, 6), action, targets));
  }

  private static void enterExpectation(Reading reading, Matcher words) {
    String name = words.group(1).toUpperCase(Locale.ROOT).replace(' ', '_').replace('-', '_');
    reading.expectations.add(ScenarioExpectation.of(Kind.valueOf(name), 0));
  }

  private static void enterAnsweredAtHome(Reading reading, Matcher words) {
    reading.expectations.add(
        new ScenarioExpectation(
            Kind.ANSWERED_AT_HOME,
            words.group(2),
            number(words),
            timeMs(words, 3),
            timeMs(words, 5)));
  }

  private static ScenarioExpectation within(Kind kind, Matcher words) {
    return ScenarioExpectation.within(kind, timeMs(words, 1), timeMs(words, 3));
  }

  private static List<String> names(String text) {
    return List.of(text.split(", *"));
  }

  private static int number(Matcher words) {
    return Integer.parseInt(words.group(1));
  }

  private static long timeMs(Matcher words, int group) {
    long value = Long.parseLong(words.group(group));
    return words.group(group + 1).equals("s") ? value * 1000 : value;
  }
}
