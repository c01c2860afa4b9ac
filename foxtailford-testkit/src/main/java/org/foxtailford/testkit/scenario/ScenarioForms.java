package org.foxtailford.testkit.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.foxtailford.testkit.scenario.ScenarioExpectation.Kind;
import org.foxtailford.testkit.scenario.ScenarioFault.Action;

/** The statements of the scenario language. */
final class ScenarioForms {

  private static final String TIME = "(\\d+)(ms|s)";
  private static final String DATA_CENTRE = "dc-[a-z0-9]+";
  private static final String DATA_CENTRES = "(" + DATA_CENTRE + "(?:, *" + DATA_CENTRE + ")*)";
  private static final String NODE =
      "(?:entry-\\d+|upstream-\\d+|operator-[01]|table|leader of "
          + DATA_CENTRE
          + "|leader|"
          + DATA_CENTRE
          + ")";
  private static final String PLACE = "upstream-\\d+|" + DATA_CENTRE;
  private static final String NODES = "(" + NODE + "(?:, *" + NODE + ")*)";

  /** A form of statement and what it enters. */
  record Form(Pattern pattern, String example, Entry entry) {}

  /** Enters a matched statement into the scenario that is being read. */
  @FunctionalInterface
  interface Entry {
    void enter(ScenarioReading reading, Matcher words);
  }

  static final List<Form> ALL =
      List.of(
          form("title: (.+)", "title: loss of an upstream", (r, m) -> r.setTitle(m.group(1))),
          form("seed: (\\d+)", "seed: 7", (r, m) -> r.setSeed(Long.parseLong(m.group(1)))),
          form("length: " + TIME, "length: 20s", (r, m) -> r.setLengthMs(timeMs(m, 1))),
          form(
              "data centres: " + DATA_CENTRES,
              "data centres: dc-a, dc-b, dc-c",
              (r, m) -> r.setDataCentres(names(m.group(1)))),
          form("entry VMs: (\\d+)", "entry VMs: 3", (r, m) -> r.setEntryVms(number(m))),
          form("upstreams: (\\d+)", "upstreams: 4", (r, m) -> r.setUpstreams(number(m))),
          form("slices: (\\d+)", "slices: 16", (r, m) -> r.setSlices(number(m))),
          form(
              "load: (\\d+)/s( unkeyed)? (idempotent|non-idempotent)(, sent again)?",
              "load: 50/s unkeyed idempotent, sent again",
              ScenarioForms::enterLoad),
          form(
              "at " + TIME + ": (lose|pause|drain|slow|fill) " + NODES + " for " + TIME,
              "at 5s: lose upstream-1 for 4s",
              ScenarioForms::enterFault),
          form(
              "at " + TIME + ": cut (" + NODE + ") (from|one way to) " + NODES + " for " + TIME,
              "at 5s: cut entry-0 from table, upstream-1 for 4s",
              ScenarioForms::enterCut),
          form(
              "at " + TIME + ": take out " + DATA_CENTRES + " for " + TIME,
              "at 5s: take out dc-b for 6s",
              (r, m) ->
                  r.add(
                      new ScenarioFault(
                          timeMs(m, 1), timeMs(m, 4), Action.TAKE_OUT, names(m.group(3))))),
          form(
              "at " + TIME + ": state loss of " + DATA_CENTRES + " for " + TIME,
              "at 5s: state loss of dc-b for 6s",
              (r, m) ->
                  r.add(
                      new ScenarioFault(
                          timeMs(m, 1), timeMs(m, 4), Action.STATE_LOSS, names(m.group(3))))),
          form(
              "at " + TIME + ": disturb messages for " + TIME,
              "at 5s: disturb messages for 4s",
              (r, m) -> r.add(untargeted(Action.DISTURB, m))),
          form(
              "at " + TIME + ": operators race for " + TIME,
              "at 5s: operators race for 3s",
              (r, m) -> r.add(untargeted(Action.RACE, m))),
          form(
              "at " + TIME + ": send poison for " + TIME,
              "at 5s: send poison for 4s",
              (r, m) -> r.add(untargeted(Action.POISON, m))),
          form(
              "expect: at most (\\d+) crashes",
              "expect: at most 3 crashes",
              (r, m) -> r.add(ScenarioExpectation.of(Kind.CRASHES, number(m)))),
          form(
              "expect: (one owner|all owned|no double run|no false not-run|"
                  + "no reverted configuration|no unknown outcome|no cold overload|no lost change)",
              "expect: one owner",
              ScenarioForms::enterExpectation),
          form(
              "expect: served again within " + TIME + " of " + TIME,
              "expect: served again within 2s of 5s",
              (r, m) -> r.add(within(Kind.SERVED_AGAIN, m))),
          form(
              "expect: configuration in force within " + TIME + " of " + TIME,
              "expect: configuration in force within 3s of 5s",
              (r, m) -> r.add(within(Kind.IN_FORCE, m))),
          form(
              "expect: no new work at (" + PLACE + ") from " + TIME + " to " + TIME,
              "expect: no new work at dc-b from 8s to 11s",
              (r, m) ->
                  r.add(
                      new ScenarioExpectation(
                          Kind.NO_NEW_WORK, m.group(1), 0, timeMs(m, 2), timeMs(m, 4)))),
          form(
              "expect: (\\d+)% (idempotent )?answered at home in ("
                  + DATA_CENTRE
                  + ") from "
                  + TIME
                  + " to "
                  + TIME,
              "expect: 90% answered at home in dc-b from 5s to 9s",
              ScenarioForms::enterAnsweredAtHome),
          form(
              "expect: (\\d+)% answered within " + TIME,
              "expect: 99% answered within 150ms",
              (r, m) ->
                  r.add(
                      new ScenarioExpectation(
                          Kind.ANSWERED_WITHIN, "", number(m), 0, timeMs(m, 2)))),
          form(
              "expect: (\\d+)% answered",
              "expect: 90% answered",
              (r, m) -> r.add(ScenarioExpectation.of(Kind.ANSWERED, number(m)))));

  private ScenarioForms() {}

  private static Form form(String pattern, String example, Entry entry) {
    return new Form(Pattern.compile(pattern), example, entry);
  }

  private static void enterLoad(ScenarioReading reading, Matcher words) {
    boolean keyed = words.group(2) == null;
    boolean idempotent = words.group(3).equals("idempotent");
    boolean sentAgain = words.group(4) != null;
    reading.add(new ScenarioLoad(number(words), idempotent, keyed, sentAgain));
  }

  private static void enterFault(ScenarioReading reading, Matcher words) {
    Action action = Action.valueOf(words.group(3).toUpperCase(Locale.ROOT));
    reading.add(
        new ScenarioFault(timeMs(words, 1), timeMs(words, 5), action, names(words.group(4))));
  }

  private static void enterCut(ScenarioReading reading, Matcher words) {
    Action action = words.group(4).equals("from") ? Action.CUT : Action.CUT_ONE_WAY;
    List<String> targets = new ArrayList<>(List.of(words.group(3)));
    targets.addAll(names(words.group(5)));
    reading.add(new ScenarioFault(timeMs(words, 1), timeMs(words, 6), action, targets));
  }

  private static void enterExpectation(ScenarioReading reading, Matcher words) {
    String name = words.group(1).toUpperCase(Locale.ROOT).replace(' ', '_').replace('-', '_');
    reading.add(ScenarioExpectation.of(Kind.valueOf(name), 0));
  }

  private static void enterAnsweredAtHome(ScenarioReading reading, Matcher words) {
    Kind kind = words.group(2) == null ? Kind.ANSWERED_AT_HOME : Kind.IDEMPOTENT_ANSWERED_AT_HOME;
    reading.add(
        new ScenarioExpectation(
            kind, words.group(3), number(words), timeMs(words, 4), timeMs(words, 6)));
  }

  private static ScenarioFault untargeted(Action action, Matcher words) {
    return new ScenarioFault(timeMs(words, 1), timeMs(words, 3), action, List.of());
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
