package org.foxtailford.testkit.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.ownership.UpstreamGrants;
import org.foxtailford.schema.GrantReply;
import org.foxtailford.schema.GrantRequest;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Breaks one rule at a time and requires the checker to find it. */
public class BrokenRuleTests {

  private static final long MAX_SCHEDULES = 3_000;
  private static final long CONTROL_SCHEDULES = 1000;
  private static final int FAST_RENEW_MS = 70;
  private static final int MARGIN_PPM = 10_000;

  @DataProvider
  public Object[][] brokenRules() {
    return new Object[][] {
      {"upstreams accept every fence", new EveryFenceAccepted()},
      {"time to live counts from receipt", new TimeToLiveFromReceipt()},
      {"no margin for clock rates", new NoMargin()},
      {"granted before released", new GrantedBeforeReleased()},
    };
  }

  @Test(dataProvider = "brokenRules")
  public void findsTheBrokenRule(String rule, SimulationVariant variant) {
    Optional<ScheduleResult> failure = new OwnershipExplorer(variant).findFailure(1, MAX_SCHEDULES);
    assertThat(failure).as(rule).isPresent();
    Reporter.log(rule + ": found by schedule " + failure.get().seed(), true);
    assertThat(failure.get().violations().toString()).as(rule).contains("own");
  }

  @Test
  public void theSameTimingWithItsMarginPasses() {
    SimulationVariant variant =
        new SimulationVariant() {
          @Override
          public OwnershipTiming timing() {
            return fastTiming(MARGIN_PPM);
          }
        };
    assertThat(new OwnershipExplorer(variant).findFailure(1, CONTROL_SCHEDULES)).isEmpty();
  }

  private static final class EveryFenceAccepted implements SimulationVariant {

    private long sequence;

    @Override
    public GrantRequest onReceipt(GrantRequest request, long upstreamNowMs) {
      GrantRequest.Builder changed = request.toBuilder();
      changed.getFenceBuilder().setEpoch(Long.MAX_VALUE).setSequence(++sequence);
      return changed.build();
    }
  }

  private static final class TimeToLiveFromReceipt implements SimulationVariant {

    @Override
    public GrantRequest onReceipt(GrantRequest request, long upstreamNowMs) {
      return request.toBuilder().setAsOfMs(upstreamNowMs).build();
    }
  }

  private static OwnershipTiming fastTiming(int marginPpm) {
    OwnershipTiming timing = SimulationVariant.unchanged().timing();
    return new OwnershipTiming(timing.leaseTtlMs(), FAST_RENEW_MS, timing.grantTtlMs(), marginPpm);
  }

  private static final class NoMargin implements SimulationVariant {

    @Override
    public OwnershipTiming timing() {
      return fastTiming(0);
    }
  }

  /** Takes each grant for accepted when it is sent. */
  private static final class GrantedBeforeReleased implements SimulationVariant {

    @Override
    public OwnershipTiming timing() {
      return fastTiming(MARGIN_PPM);
    }

    @Override
    public UpstreamGrants grants(UpstreamGrants grants) {
      return new UpstreamGrants() {
        @Override
        public CompletableFuture<GrantReply> status(Upstream upstream) {
          return grants.status(upstream);
        }

        @Override
        public CompletableFuture<GrantReply> grant(Upstream upstream, GrantRequest request) {
          CompletableFuture<GrantReply> answer = grants.grant(upstream, request);
          return request.getFenceOnly() ? answer : answer.exceptionally(f -> assumed(request));
        }
      };
    }

    private static GrantReply assumed(GrantRequest request) {
      return GrantReply.newBuilder()
          .setAccepted(true)
          .setBootId(request.getBootId())
          .setNowMs(request.getAsOfMs())
          .addAllSlices(request.getSlicesList())
          .build();
    }
  }
}
