package org.foxtailford.entry.request;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.route.ServicePolicy;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.upstream.UpstreamPath;
import org.foxtailford.core.util.Assert;

/**
 * Finds out whether this VM is cut off from all upstreams, by probes where {@link UpstreamPath}
 * doubts its path. Confined to the event loop.
 */
public final class UpstreamPathMonitor {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long CHECK_INTERVAL_MS = 100;

  /** Probes of a round, spread over the data centres; a cut of some of them is no cut of all. */
  private static final int MAX_PROBES = 8;

  private final UpstreamPath path;
  private final RoutingView view;
  private final UpstreamRegistry registry;
  private final Runnable onChange;
  private final MillisClock clock;
  private final ScheduledExecutorService loop;
  private final Random random;

  /**
   * Creates a monitor that is not started.
   *
   * @param onChange called when the VM is cut off, or no longer
   */
  public UpstreamPathMonitor(
      UpstreamPath path,
      RoutingView view,
      UpstreamRegistry registry,
      Runnable onChange,
      MillisClock clock,
      ScheduledExecutorService loop,
      Random random) {
    this.path = Assert.notNull(path, "path");
    this.view = Assert.notNull(view, "view");
    this.registry = Assert.notNull(registry, "registry");
    this.onChange = Assert.notNull(onChange, "onChange");
    this.clock = Assert.notNull(clock, "clock");
    this.loop = Assert.notNull(loop, "loop");
    this.random = Assert.notNull(random, "random");
  }

  /** Starts the periodic checks on the event loop. */
  public void start() {
    loop.scheduleWithFixedDelay(
        this::check, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void check() {
    int silent = registry.silentUpstreams(UpstreamPath.SILENCE_MS, clock.nowMs());
    List<UpstreamEntry> usable = usable();
    if (path.isRoundDue(silent, usable.size())) {
      List<UpstreamEntry> chosen = choose(usable);
      path.beginRound(chosen.stream().map(UpstreamEntry::id).toList());
      for (UpstreamEntry entry : chosen) {
        registry
            .getOrCreate(entry)
            .pool()
            .probe(failure -> onProbed(entry.id(), failure.isEmpty(), silent));
      }
    }
  }

  private List<UpstreamEntry> usable() {
    List<UpstreamEntry> usable = new ArrayList<>();
    view.configuration()
        .ifPresent(
            configuration -> {
              for (ServicePolicy service : configuration.services()) {
                usable.addAll(view.upstreams().usable(service.name()));
              }
            });
    return usable;
  }

  /** Returns upstreams in turn from each data centre, drawn at random. */
  private List<UpstreamEntry> choose(List<UpstreamEntry> usable) {
    Collections.shuffle(usable, random);
    Map<String, Integer> chosenByDataCentre = new HashMap<>();
    Map<UpstreamEntry, Integer> turns = new HashMap<>();
    for (UpstreamEntry entry : usable) {
      turns.put(entry, chosenByDataCentre.merge(entry.dataCentre(), 1, Integer::sum));
    }
    usable.sort((a, b) -> Integer.compare(turns.get(a), turns.get(b)));
    return usable.subList(0, Math.min(MAX_PROBES, usable.size()));
  }

  private void onProbed(String upstream, boolean connected, int silent) {
    if (!path.recordProbe(upstream, connected)) {
      return;
    }
    if (path.isCutOff()) {
      logger.atWarning().with(EventFields.COUNT, (long) silent).log("cut off from upstreams");
    } else {
      logger.atWarning().with(EventFields.UPSTREAM, upstream).log("upstreams reached again");
    }
    onChange.run();
  }
}
