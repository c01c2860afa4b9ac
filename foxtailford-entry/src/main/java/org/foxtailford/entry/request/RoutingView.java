package org.foxtailford.entry.request;

import java.util.Collection;
import java.util.Optional;
import org.foxtailford.core.range.RangeMap;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.upstream.UpstreamDirectory;
import org.foxtailford.core.upstream.UpstreamEntry;

/** What the way of a request needs to know. */
public interface RoutingView {

  /** Returns the configuration in force; empty until one is known. */
  Optional<RoutingConfiguration> configuration();

  /** Returns the upstreams. */
  UpstreamDirectory upstreams();

  /** Returns the owners of a service's keys. */
  RangeMap owners(String service);

  /** Returns the names of the entry VMs that share budgets, this one included. */
  Collection<String> entryVms();

  /** Counts a request for a key. */
  void countKey(String service, int key);

  /** Counts an answer and how long the upstream usually works on it, in milliseconds. */
  void countWork(UpstreamEntry upstream, double tookMs);

  /** Notes that an owner does not own a key as the map says. */
  void onWrongOwner(String service, int key);
}
