package org.foxtailford.daemon.coldstart;

import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.testkit.upstream.UpstreamProfile;
import org.foxtailford.testkit.upstream.UpstreamStandIn;

/** An upstream that starts again without warning and counts what it is given while cold. */
final class SimulatedUpstream {

  private final UpstreamProfile profile;
  private final SimulatedTime time;
  private final Set<String> coldSenders = new TreeSet<>();
  private UpstreamStandIn process;
  private long bootId;
  private long earlierColdRefusals;
  private long coldRuns;
  private long warmRuns;

  SimulatedUpstream(UpstreamProfile profile, SimulatedTime time) {
    this.profile = profile;
    this.time = time;
    start();
  }

  private void start() {
    bootId++;
    process = new UpstreamStandIn(profile, bootId, time.clock(0), time::schedule);
  }

  void restart() {
    earlierColdRefusals += process.coldRefusals();
    start();
  }

  long bootId() {
    return bootId;
  }

  CompletableFuture<HttpAnswer> receive(String sender, HttpExchange exchange) {
    long runsBefore = process.runs();
    boolean cold = process.isCold();
    CompletableFuture<HttpAnswer> answer = process.handle(exchange);
    long admitted = process.runs() - runsBefore;
    if (cold && admitted > 0) {
      coldSenders.add(sender);
    }
    coldRuns += cold ? admitted : 0;
    warmRuns += cold ? 0 : admitted;
    return answer;
  }

  /** Returns how many requests came in cold starts beyond what it bears then. */
  long overAllowance() {
    return earlierColdRefusals + process.coldRefusals();
  }

  long coldRuns() {
    return coldRuns;
  }

  long warmRuns() {
    return warmRuns;
  }

  /** Returns the entry VMs whose requests ran in a cold start. */
  Set<String> coldSenders() {
    return coldSenders;
  }
}
