package org.foxtailford.entry.request;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.foxtailford.core.range.RangeMap;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.upstream.UpstreamDirectory;
import org.foxtailford.core.upstream.UpstreamEntry;

/** Routing state that is used to schedule requests. Called on the event loop. */
public interface RoutingView {

  /** Records that another entry VM has a version of the configuration, perhaps a newer one. */
  void onConfigurationHeardOf(long version);

  /** Returns the active configuration; empty until one has been received. */
  Optional<RoutingConfiguration> configuration();

  /**
   * Returns the time since the configuration was known to be the latest one, in milliseconds; -1 if
   * it never was.
   */
  long configurationAgeMs();

  /** Returns the known upstreams with their states. */
  UpstreamDirectory upstreams();

  /** Returns the owners of a service's keys; keys without an owner are missing from the map. */
  RangeMap owners(String service);

  /**
   * Returns whether the leader is taking a key away from the owner by an assignment, which rejects
   * requests for it meanwhile.
   *
   * @param fence fence of the assignment
   */
  boolean isBeingMoved(String service, int key, long fence);

  /** Returns the names of the entry VMs that share rate limits, including this one. */
  Collection<String> entryVms();

  /** Returns the other entry VMs that are live as far as is known. */
  List<EntryPeer> peers();

  /**
   * Records a request for a key, as a measure of the key's load.
   *
   * @param relativeCost expected cost of the request; 1 is the average of its service
   */
  void countKey(String service, int key, double relativeCost);

  /** Records the slowness of an upstream's machine as it reports it; 1 is typical. */
  void countSlowness(UpstreamEntry upstream, double slowness);

  /** Records the limit that an upstream's last answer named; empty if it named none. */
  void countLimit(UpstreamEntry upstream, OptionalDouble perSecond);

  /** Records an answer that did not wait at the upstream and its service time, in milliseconds. */
  void countWork(UpstreamEntry upstream, double tookMs);

  /** Records an upstream's statement that it is leaving. */
  void onLeaving(UpstreamEntry upstream);

  /** Handles an upstream's statement that it does not own a key, contrary to the owners' map. */
  void onWrongOwner(String service, int key);
}
