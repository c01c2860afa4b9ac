package org.foxtailford.testkit.homes;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.WriteResult;
import org.foxtailford.schema.GrantRequest;
import org.foxtailford.schema.HomeRanges;
import org.foxtailford.schema.LeaseRecord;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Breaks one rule at a time and requires a schedule in which a slice has two owners. */
public class HomeBrokenRuleTests {

  private static final long MAX_SCHEDULES = 1_000;
  private static final int SETTLE_MS = 8000;
  private static final String RETURNING = "dc-b";

  @DataProvider
  public Object[][] brokenRules() {
    return new Object[][] {
      {"no margin for clock rates", new NoMargin()},
      {"a lease row counts as unchanged until after the answer", new UnchangedUntilReceipt()},
      {"a grant's time to live counts from receipt", new TimeToLiveFromReceipt()},
      {"a leader that comes back keeps its epoch", new EndlessTenure()},
    };
  }

  @Test(dataProvider = "brokenRules")
  public void findsTheBrokenRule(String name, HomeRules rules) {
    OptionalLong found =
        LongStream.rangeClosed(1, MAX_SCHEDULES)
            .filter(seed -> !new HomeSchedule(seed, rules).run().violations().isEmpty())
            .findFirst();
    assertThat(found).as(name).isPresent();
    Reporter.log(name + ": found by schedule " + found.getAsLong(), true);
  }

  @Test
  public void aTakeOverThatArrivesAfterTheReturnIsHarmlessOnlyByTheClaim() {
    assertThat(violationsOfALateTakeOver(new HomeRules() {})).isEmpty();
    assertThat(violationsOfALateTakeOver(new NoClaims())).isNotEmpty();
  }

  private static List<String> violationsOfALateTakeOver(HomeRules rules) {
    HeldTakeOvers held = new HeldTakeOvers(RETURNING, rules);
    HomeWorld world = new HomeWorld(held, 2, new Random(1));
    world.queue().runUntil(SETTLE_MS);
    world.way(RETURNING).setCut(true);
    world.queue().runUntil(2 * SETTLE_MS);
    assertThat(held.anyHeld()).isTrue();
    world.way(RETURNING).setCut(false);
    world.queue().runUntil(3 * SETTLE_MS);
    assertThat(world.allOwned()).isTrue();
    held.letGo();
    world.queue().runUntil(4 * SETTLE_MS);
    return world.violations();
  }

  private static final class NoMargin implements HomeRules {
    @Override
    public OwnershipTiming watchTiming() {
      return new OwnershipTiming(LEASE_TTL_MS, RENEW_INTERVAL_MS, GRANT_TTL_MS, 0, HOLD_MS);
    }
  }

  /** Gives the answer of the read before, so that its sending appears later than it was. */
  private static final class UnchangedUntilReceipt implements HomeRules {
    @Override
    public TableService watchTable(TableService table) {
      Map<String, CompletableFuture<Optional<TableRow>>> reads = new HashMap<>();
      return new TableService() {
        @Override
        public CompletableFuture<Optional<TableRow>> read(String key) {
          CompletableFuture<Optional<TableRow>> read = table.read(key);
          return Optional.ofNullable(reads.put(key, read)).orElse(read);
        }

        @Override
        public CompletableFuture<WriteResult> write(String key, long expected, ByteString value) {
          return table.write(key, expected, value);
        }
      };
    }
  }

  private static final class TimeToLiveFromReceipt implements HomeRules {
    @Override
    public GrantRequest grant(GrantRequest request, long upstreamNowMs) {
      return request.toBuilder().setAsOfMs(upstreamNowMs).build();
    }
  }

  private static final class EndlessTenure implements HomeRules {
    private static final int ENDLESS_MS = 1_000_000;

    @Override
    public OwnershipTiming electionTiming() {
      return new OwnershipTiming(
          LEASE_TTL_MS, RENEW_INTERVAL_MS, GRANT_TTL_MS, CLOCK_RATE_MARGIN_PPM, ENDLESS_MS);
    }

    @Override
    public TableService electionTable(TableService table) {
      return new TableService() {
        @Override
        public CompletableFuture<Optional<TableRow>> read(String key) {
          return table.read(key);
        }

        @Override
        public CompletableFuture<WriteResult> write(String key, long expected, ByteString value) {
          return table.write(key, expected, withTrueHold(value));
        }
      };
    }

    private static ByteString withTrueHold(ByteString value) {
      try {
        LeaseRecord record = LeaseRecord.parseFrom(value);
        return record.toBuilder().setHoldWithoutTableMs(HOLD_MS).build().toByteString();
      } catch (InvalidProtocolBufferException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** Leaders neither wait for a claim nor write one after the first. */
  private static final class NoClaims implements HomeRules {
    @Override
    public HomeRanges homes(HomeRanges row) {
      return row.toBuilder().clearClaims().build();
    }

    @Override
    public TableService moverTable(TableService table) {
      return new TableService() {
        private HomeRanges last = HomeRanges.getDefaultInstance();

        @Override
        public CompletableFuture<Optional<TableRow>> read(String key) {
          return table
              .read(key)
              .thenApply(
                  row -> {
                    last = row.map(found -> parse(found.value())).orElse(last);
                    return row;
                  });
        }

        @Override
        public CompletableFuture<WriteResult> write(String key, long expected, ByteString value) {
          HomeRanges next = parse(value);
          boolean first = next.getClaimsCount() > last.getClaimsCount();
          boolean moves = !next.getRangesList().equals(last.getRangesList());
          return first || moves
              ? table.write(key, expected, value)
              : CompletableFuture.completedFuture(new WriteResult(false, expected));
        }
      };
    }

    private static HomeRanges parse(ByteString value) {
      try {
        return HomeRanges.parseFrom(value);
      } catch (InvalidProtocolBufferException e) {
        throw new IllegalStateException(e);
      }
    }
  }
}
