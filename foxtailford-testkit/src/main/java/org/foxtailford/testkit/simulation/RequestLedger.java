package org.foxtailford.testkit.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.foxtailford.core.result.Effect;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.util.Assert;

/** What callers sent and were told, and where their requests ran. */
final class RequestLedger {

  private static final int ALL_PERCENT = 100;

  private final Map<String, Sent> sent = new LinkedHashMap<>();
  private final List<Run> arrivals = new ArrayList<>();
  private final List<Run> runs = new ArrayList<>();
  private final List<String> coldOverloads = new ArrayList<>();
  private final List<String> crashes = new ArrayList<>();

  /** One arrival or start of a request at an upstream. */
  private record Run(String requestId, SimulatedUpstream upstream, long atMs) {}

  /** A request and its result, once there is one. */
  static final class Sent {

    private final String id;
    private final boolean idempotent;
    private final String dataCentre;
    private final boolean home;
    private final long atMs;
    private Optional<ResultCode> result = Optional.empty();
    private boolean settled;
    private long tookMs = Long.MAX_VALUE;

    /**
     * Creates a request without a result.
     *
     * @param id id of the request
     * @param idempotent whether running it twice has the effect of running it once
     * @param dataCentre data centre of the entry VM that its caller chose
     * @param home whether that data centre is home to its key
     * @param atMs true time of its sending
     */
    Sent(String id, boolean idempotent, String dataCentre, boolean home, long atMs) {
      this.id = Assert.hasLength(id, "id");
      this.idempotent = idempotent;
      this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
      this.home = home;
      this.atMs = atMs;
    }

    String id() {
      return id;
    }

    boolean idempotent() {
      return idempotent;
    }

    /** Notes what its caller was told; an answer, and then a doubt, outweighs a refusal. */
    void finish(ResultCode code, boolean isFinal, long nowMs) {
      settled |= isFinal;
      if (code == ResultCode.OK && !answered()) {
        tookMs = nowMs - atMs;
      }
      if (result.filter(known -> weight(known) > weight(code)).isEmpty()) {
        result = Optional.of(code);
      }
    }

    /** Tells whether it makes no sense to send it again. */
    boolean settled() {
      return settled;
    }

    private static int weight(ResultCode code) {
      if (code == ResultCode.OK) {
        return 2;
      }
      return code.effect() == Effect.NOT_RUN ? 0 : 1;
    }

    /** Tells whether it was sent to the data centre that is home to its key. */
    boolean sentHome(String name) {
      return home && dataCentre.equals(name);
    }

    /** Tells whether it was sent between two times. */
    boolean sentBetween(long fromMs, long untilMs) {
      return fromMs <= atMs && atMs < untilMs;
    }

    private boolean answered() {
      return result.equals(Optional.of(ResultCode.OK));
    }

    private boolean known() {
      return result.filter(code -> code.effect() != Effect.UNKNOWN).isPresent();
    }

    private boolean toldNotRun() {
      return result.filter(code -> code.effect() == Effect.NOT_RUN).isPresent();
    }
  }

  void add(Sent request) {
    sent.put(request.id(), request);
  }

  /** Returns the number of requests. */
  int size() {
    return sent.size();
  }

  /** Notes that an upstream was given a request, whether or not it runs it. */
  void arrived(String requestId, SimulatedUpstream upstream, long atMs) {
    arrivals.add(new Run(requestId, upstream, atMs));
  }

  /** Notes that an upstream begins to run a request. */
  void ran(String requestId, SimulatedUpstream upstream, long atMs) {
    runs.add(new Run(requestId, upstream, atMs));
  }

  /** Notes that a cold upstream ran more at once than it can bear. */
  void overloadedCold(SimulatedUpstream upstream, int requests, long atMs) {
    coldOverloads.add(upstream.name() + " with " + requests + " at " + atMs + " ms");
  }

  /** Returns the cold upstreams that ran more at once than they can bear, with the times. */
  List<String> coldOverloads() {
    return List.copyOf(coldOverloads);
  }

  /** Notes that a request crashed the upstream that ran it. */
  void crashed(SimulatedUpstream upstream, long atMs) {
    crashes.add(upstream.name() + " at " + atMs + " ms");
  }

  /** Returns the upstreams that a request crashed, with the times. */
  List<String> crashes() {
    return List.copyOf(crashes);
  }

  /** Returns the requests that are not idempotent and ran more than once. */
  List<String> doubleRuns() {
    return sent.values().stream()
        .filter(request -> !request.idempotent() && runs(request) > 1)
        .map(Sent::id)
        .toList();
  }

  /** Returns the requests that ran although their caller was told that they did not. */
  List<String> falseNotRun() {
    return sent.values().stream()
        .filter(request -> request.toldNotRun() && runs(request) > 0)
        .map(Sent::id)
        .toList();
  }

  private long runs(Sent request) {
    return runs.stream().filter(run -> run.requestId().equals(request.id())).count();
  }

  /** Returns the requests given to an upstream, or in a data centre, between two times. */
  List<String> arrivedAt(String place, long fromMs, long untilMs) {
    return arrivals.stream()
        .filter(run -> run.atMs() >= fromMs && run.atMs() < untilMs)
        .filter(run -> isAt(run.upstream(), place))
        .map(Run::requestId)
        .toList();
  }

  private static boolean isAt(SimulatedUpstream upstream, String place) {
    return upstream.name().equals(place) || upstream.dataCentre().equals(place);
  }

  /** Returns the share of all requests that were answered, in percent. */
  double answeredPercent() {
    return answeredPercent(request -> true);
  }

  /** Returns the share of all requests that were answered within a time, in percent. */
  double answeredWithinPercent(long limitMs) {
    long answered = sent.values().stream().filter(request -> request.tookMs <= limitMs).count();
    return sent.isEmpty() ? ALL_PERCENT : (double) ALL_PERCENT * answered / sent.size();
  }

  /** Returns the share of some requests that were answered, in percent. */
  double answeredPercent(Predicate<Sent> which) {
    List<Sent> chosen = sent.values().stream().filter(which).toList();
    long answered = chosen.stream().filter(Sent::answered).count();
    return chosen.isEmpty() ? ALL_PERCENT : (double) ALL_PERCENT * answered / chosen.size();
  }

  /** Returns the requests of which nobody told their callers whether they ran. */
  List<String> unknownOutcomes() {
    return sent.values().stream().filter(request -> !request.known()).map(Sent::id).toList();
  }

  /** Returns the number of requests by result; {@code none} stands for no answer. */
  String summary() {
    Map<String, Integer> counts = new TreeMap<>();
    sent.values()
        .forEach(r -> counts.merge(r.result.map(Enum::name).orElse("none"), 1, Integer::sum));
    return counts.toString();
  }
}
