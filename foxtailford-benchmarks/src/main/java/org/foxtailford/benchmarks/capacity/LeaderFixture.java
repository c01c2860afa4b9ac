package org.foxtailford.benchmarks.capacity;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.ownership.DataCentreLeader;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.ownership.HomesSnapshot;
import org.foxtailford.core.ownership.LeaseElection;
import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.ownership.UpstreamGrants;
import org.foxtailford.core.placement.LoadAwarePolicy;
import org.foxtailford.core.settings.SettingsDefaults;
import org.foxtailford.schema.GrantReply;
import org.foxtailford.schema.GrantRequest;
import org.foxtailford.schema.OwnershipSettings;
import org.foxtailford.testkit.platform.InMemoryTable;
import org.foxtailford.testkit.time.FakeMillisClock;

/** A leader with upstreams that accept every grant at once. Not thread-safe. */
final class LeaderFixture {

  private static final int WARM_UP_ROUNDS = 12;

  private final OwnershipTiming timing =
      OwnershipTiming.of(SettingsDefaults.applyAll(OwnershipSettings.newBuilder()).build());
  private final FakeMillisClock clock = new FakeMillisClock();
  private final Map<String, GrantReply> held = new HashMap<>();
  private final LeaseElection election;
  private final DataCentreLeader leader;
  private long requestBytes;
  private long requests;

  LeaderFixture(int upstreams, int slices) {
    ConfigurationView configuration = Fleets.configuration(upstreams, slices);
    HomeDirectory homes =
        HomeDirectory.of(
            List.of(HomeDirectory.initial(Fleets.SERVICE, slices, List.of(Fleets.DATA_CENTRE))));
    AtomicLong writeIds = new AtomicLong();
    election =
        new LeaseElection(
            "leader",
            "entry",
            1,
            timing,
            new InMemoryTable(),
            clock,
            writeIds::incrementAndGet,
            Runnable::run);
    leader =
        new DataCentreLeader(
            Fleets.DATA_CENTRE,
            election,
            timing,
            new AcceptingGrants(),
            new LoadAwarePolicy(),
            checkpoint -> {},
            () -> configuration,
            () -> new HomesSnapshot(homes, Long.MAX_VALUE),
            clock,
            Runnable::run);
    for (int i = 0; i < WARM_UP_ROUNDS; i++) {
      round();
    }
    requestBytes = 0;
    requests = 0;
  }

  /** Runs one renewal round. */
  void round() {
    clock.advance(timing.renewIntervalMs());
    election.tick();
    leader.tick();
  }

  /** Runs one round and returns the mean size of its grants. */
  double bytesPerGrantAfterRound() {
    round();
    return (double) requestBytes / requests;
  }

  private final class AcceptingGrants implements UpstreamGrants {

    @Override
    public CompletableFuture<GrantReply> status(Upstream upstream) {
      GrantReply reply = held.getOrDefault(upstream.name(), GrantReply.getDefaultInstance());
      return answer(reply.toBuilder().setBootId(1));
    }

    @Override
    public CompletableFuture<GrantReply> grant(Upstream upstream, GrantRequest request) {
      ByteString bytes = request.toByteString();
      requestBytes += bytes.size();
      requests++;
      GrantReply reply =
          GrantReply.newBuilder()
              .setAccepted(true)
              .setBootId(1)
              .setHighestFence(request.getFence())
              .setRemainingMs(request.getTtlMs())
              .addAllSlices(request.getSlicesList())
              .build();
      held.put(upstream.name(), reply);
      return answer(reply.toBuilder());
    }

    private CompletableFuture<GrantReply> answer(GrantReply.Builder reply) {
      return CompletableFuture.completedFuture(reply.setNowMs(clock.nowMs()).build());
    }
  }
}
