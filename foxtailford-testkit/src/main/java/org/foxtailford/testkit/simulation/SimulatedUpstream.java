package org.foxtailford.testkit.simulation;

import java.util.Optional;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.GrantReply;
import org.foxtailford.schema.GrantRequest;
import org.foxtailford.testkit.upstream.GrantHolder;
import org.jspecify.annotations.Nullable;

/** An upstream that checks fences; a restart forgets its grants. */
final class SimulatedUpstream extends SimulatedNode {

  private static final int BOOT_ID_FACTOR = 1000;

  private final String dataCentre;
  private final int index;
  private final MillisClock clock;
  private final SimulationVariant variant;
  private @Nullable GrantHolder holder;
  private @Nullable SimulatedWork work;

  SimulatedUpstream(
      String name, String dataCentre, int index, MillisClock clock, SimulationVariant variant) {
    super(name);
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.index = index;
    this.clock = Assert.notNull(clock, "clock");
    this.variant = Assert.notNull(variant, "variant");
    onStarted();
  }

  String dataCentre() {
    return dataCentre;
  }

  /** Gives this upstream work without keys. */
  void setWork(SimulatedWork value) {
    work = value;
  }

  SimulatedWork work() {
    return Assert.notNull(work, "work");
  }

  /** Starts the process again unless it runs. */
  void startIfLost() {
    if (!running()) {
      start();
    }
  }

  GrantReply status() {
    return present().status();
  }

  GrantReply apply(GrantRequest request) {
    return present().apply(variant.onReceipt(request, clock.nowMs()));
  }

  /** Returns the fence under which a key is owned at this moment. */
  Optional<Fence> ownedFence(String service, long keyHash) {
    return Optional.ofNullable(holder).flatMap(h -> h.ownedFence(service, keyHash));
  }

  /** Tells whether this upstream owns a key under a fence. */
  boolean owns(String service, long keyHash, Fence fence) {
    return ownedFence(service, keyHash).filter(fence::equals).isPresent();
  }

  private GrantHolder present() {
    return Assert.notNull(holder, "holder");
  }

  @Override
  void onLost() {
    holder = null;
    if (work != null) {
      work.lost();
    }
  }

  @Override
  void onStarted() {
    if (work != null) {
      work.started();
    }
    holder = new GrantHolder((long) (index + 1) * BOOT_ID_FACTOR + starts(), clock);
  }
}
