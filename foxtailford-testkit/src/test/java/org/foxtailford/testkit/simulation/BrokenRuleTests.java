package org.foxtailford.testkit.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
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
      {"a new leader does not exclude the one that holds", new NoExclusion()},
    };
  }

  @Test(dataProvider = "brokenRules")
  public void findsTheBrokenRule(String rule, SimulationVariant variant) {
    OwnershipExplorer explorer = new OwnershipExplorer(variant);
    OptionalLong found =
        LongStream.rangeClosed(1, MAX_SCHEDULES)
            .filter(seed -> hasTwoOwners(explorer.run(seed, false)))
            .findFirst();
    assertThat(found).as(rule).isPresent();
    Reporter.log(rule + ": found by schedule " + found.getAsLong(), true);
  }

  private static boolean hasTwoOwners(ScheduleResult result) {
    return result.violations().stream().anyMatch(text -> text.contains("has the owners"));
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
    OwnershipExplorer explorer = new OwnershipExplorer(variant);
    assertThat(
            LongStream.rangeClosed(1, CONTROL_SCHEDULES)
                .mapToObj(seed -> explorer.run(seed, false))
                .filter(result -> !result.passed()))
        .isEmpty();
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
    return new OwnershipTiming(
        timing.leaseTtlMs(),
        FAST_RENEW_MS,
        timing.grantTtlMs(),
        marginPpm,
        timing.holdWithoutTableMs());
  }

  private static final class NoMargin implements SimulationVariant {

    @Override
    public OwnershipTiming timing() {
      return fastTiming(0);
    }
  }

  private static final class NoExclusion implements SimulationVariant {

    @Override
    public OwnershipTiming timing(String candidate) {
      OwnershipTiming timing = timing();
      boolean holds = candidate.endsWith("0");
      return new OwnershipTiming(
          timing.leaseTtlMs(),
          timing.renewIntervalMs(),
          timing.grantTtlMs(),
          timing.clockRateMarginPpm(),
          holds ? timing.holdWithoutTableMs() : 0);
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
