package org.foxtailford.testkit.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.ownership.DataCentreLeader;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.ownership.HomesSnapshot;
import org.foxtailford.core.ownership.LeaseElection;
import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.ownership.UpstreamGrants;
import org.foxtailford.core.placement.EvenCountPolicy;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.GrantReply;
import org.foxtailford.schema.GrantRequest;
import org.foxtailford.schema.ServiceDefinition;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;
import org.foxtailford.testkit.platform.InMemoryTable;
import org.foxtailford.testkit.time.FakeMillisClock;
import org.foxtailford.testkit.upstream.GrantHolder;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** An upstream whose name moves to another address while the old process still runs. */
public class ReplacedUpstreamTests {

  private static final OwnershipTiming TIMING = new OwnershipTiming(600, 200, 2000, 10_000, 0);
  private static final String SERVICE = "menu-planning";
  private static final int SETTLE_MS = 6000;
  private static final int OLD_PORT = 1;
  private static final int NEW_PORT = 2;

  private FakeMillisClock clock;
  private Map<Integer, GrantHolder> holders;
  private ConfigurationView configuration;
  private LeaseElection election;
  private DataCentreLeader leader;
  private long writeIds;

  @BeforeMethod
  public void settle() {
    clock = new FakeMillisClock();
    holders = Map.of(OLD_PORT, new GrantHolder(11, clock), NEW_PORT, new GrantHolder(12, clock));
    configuration = configuration(OLD_PORT);
    election =
        new LeaseElection(
            "leader-dc-a",
            "entry-0",
            1,
            TIMING,
            new InMemoryTable(),
            clock,
            () -> ++writeIds,
            Runnable::run);
    HomeDirectory homes =
        HomeDirectory.of(List.of(HomeDirectory.initial(SERVICE, 1, List.of("dc-a"))));
    leader =
        new DataCentreLeader(
            "dc-a",
            election,
            TIMING,
            new GrantsByAddress(),
            new EvenCountPolicy(1),
            checkpoint -> {},
            () -> configuration,
            () -> new HomesSnapshot(homes, clock.nowMs()),
            clock,
            Runnable::run);
    run(SETTLE_MS);
    assertThat(owns(OLD_PORT)).isTrue();
  }

  private void run(int ms) {
    for (int i = 0; i < ms; i++) {
      clock.advance(1);
      if (clock.nowMs() % TIMING.renewIntervalMs() == 0) {
        election.tick();
        leader.tick();
      }
      assertThat(owns(OLD_PORT) && owns(NEW_PORT)).as("two owners").isFalse();
    }
  }

  private boolean owns(int port) {
    return holders.get(port).ownedFence(SERVICE, 0).isPresent();
  }

  @Test
  public void theNewProcessOwnsNothingBeforeTheGrantOfTheOldOneLapsed() {
    configuration = configuration(NEW_PORT);
    run(SETTLE_MS);
    assertThat(owns(NEW_PORT)).isTrue();
  }

  private static ConfigurationView configuration(int port) {
    ServiceDefinition service =
        ServiceDefinition.newBuilder()
            .setName(SERVICE)
            .setKeyed(true)
            .setSelector("vm")
            .setUpstreamsCheckFences(true)
            .setInitialSlices(1)
            .build();
    VmEntry vm =
        VmEntry.newBuilder()
            .setName("menu-1")
            .setDataCentre("dc-a")
            .setRole(VmRole.VM_ROLE_UPSTREAM)
            .setState(VmState.VM_STATE_LIVE)
            .setAddress(Endpoint.newBuilder().setHost("127.0.0.1").setPort(port))
            .build();
    ConfigurationDocument document =
        ConfigurationDocument.newBuilder().addServices(service).build();
    return ConfigurationView.of(port, document, VmList.newBuilder().addVms(vm).build());
  }

  private final class GrantsByAddress implements UpstreamGrants {

    @Override
    public CompletableFuture<GrantReply> status(Upstream upstream) {
      return CompletableFuture.completedFuture(holder(upstream).status());
    }

    @Override
    public CompletableFuture<GrantReply> grant(Upstream upstream, GrantRequest request) {
      return CompletableFuture.completedFuture(holder(upstream).apply(request));
    }

    private GrantHolder holder(Upstream upstream) {
      return holders.get(upstream.address().getPort());
    }
  }
}
