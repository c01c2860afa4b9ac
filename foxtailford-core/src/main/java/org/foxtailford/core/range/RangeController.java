package org.foxtailford.core.range;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.foxtailford.core.util.Assert;

/**
 * Assigns the ranges of one service to upstreams and moves them; used by the current leader.
 *
 * <p>A range moves in three steps: it is released, or its grants expire; the map with the new owner
 * and a higher fence is written; only then is the range granted. A renewal repeats a grant that the
 * stored map records, so it is safe even if a former leader sends it.
 *
 * <p>Not thread-safe. The outcome of each command must be reported before the controller returns
 * the next command for the same range.
 */
public final class RangeController {

  /**
   * Time without a new upstream after which the first keys are assigned, in milliseconds; longer
   * than the interval of the upstreams' heartbeats. Upstreams that come later get keys only when
   * there is load to balance.
   */
  private static final long INITIAL_QUIET_MS = 1500;

  /** Maximum time to wait for more upstreams after the first one, in milliseconds. */
  private static final long MAX_INITIAL_WAIT_MS = 5000;

  /** Time for which an unreachable upstream is not assigned any keys, in milliseconds. */
  private static final long EXCLUSION_MS = 3000;

  private final RangeTiming timing;
  private final LongSupplier fences;
  private final Consumer<RangeAssignment> onExpired;
  private final RangePlanner planner = new RangePlanner();
  private final KeyLoadHistory loads;
  private List<RangePiece> pieces = new ArrayList<>();
  private long mapVersion;
  private final Map<RangeOwner, Long> excludedUntilMs = new HashMap<>();
  private final long grantsFromMs;
  private long writeIntervalMs;
  private long nextWriteMs = Long.MIN_VALUE;
  private boolean writePending;
  private boolean rewriteDue;
  private long heldBackUntilMs = Long.MIN_VALUE;
  private boolean superseded;
  private long lastCommand;
  private boolean completed = true;
  private long firstCandidateMs = Long.MIN_VALUE;
  private long newestCandidateMs;
  private int candidateCount;

  /**
   * Creates a controller that starts from the stored map.
   *
   * @param timing durations and timeouts of commands
   * @param fences source of fences, each higher than all fences before
   * @param loads request counts of the keys
   * @param map stored map; {@link RangeMap#EMPTY} for a service without one
   * @param mapComplete whether no later map can have been lost. Otherwise other upstreams than the
   *     recorded owners may hold any key, so nothing is granted until all earlier grants have
   *     expired
   * @param earlierGrantsExpiryMs latest time until which grants of earlier leaders may be in force,
   *     in milliseconds
   * @param onExpired receives what an owner lost because its grants have expired, without a release
   */
  public RangeController(
      RangeTiming timing,
      LongSupplier fences,
      KeyLoadHistory loads,
      RangeMap map,
      boolean mapComplete,
      long earlierGrantsExpiryMs,
      Consumer<RangeAssignment> onExpired) {
    this.timing = Assert.notNull(timing, "timing");
    this.fences = Assert.notNull(fences, "fences");
    this.loads = Assert.notNull(loads, "loads");
    this.onExpired = Assert.notNull(onExpired, "onExpired");
    this.mapVersion = map.version();
    this.grantsFromMs = mapComplete ? Long.MIN_VALUE : earlierGrantsExpiryMs;
    int next = 0;
    for (RangeAssignment assignment : map.assignments()) {
      if (assignment.range().first() > next) {
        pieces.add(new RangePiece(new KeyRange(next, assignment.range().first() - 1)));
      }
      pieces.add(RangePiece.owned(assignment, earlierGrantsExpiryMs));
      next = assignment.range().last() + 1;
    }
    if (next < KeyRange.KEYS) {
      pieces.add(new RangePiece(new KeyRange(next, KeyRange.KEYS - 1)));
    }
  }

  /**
   * Sets the time from one write of the map to the next, in milliseconds. Each write is sent to all
   * entry VMs, so that ranges that move within this time share one.
   */
  public void setWriteInterval(long intervalMs) {
    Assert.isTrue(intervalMs >= 0, "intervalMs must not be negative");
    writeIntervalMs = intervalMs;
  }

  /**
   * Returns the commands that are due now.
   *
   * @param candidates upstreams to which keys may be assigned now
   * @param mayMove whether ranges may be moved for balance; false while the store may not accept
   *     the new map that released keys need
   * @param nowMs current time, in milliseconds
   */
  public List<RangeCommand> nextCommands(
      Collection<RangeCandidate> candidates, boolean mayMove, long nowMs) {
    if (nowMs < grantsFromMs) {
      return List.of();
    }
    Map<RangeOwner, RangeCandidate> usable = new HashMap<>();
    excludedUntilMs.values().removeIf(untilMs -> nowMs >= untilMs);
    for (RangeCandidate candidate : candidates) {
      if (!excludedUntilMs.containsKey(candidate.owner())) {
        usable.put(candidate.owner(), candidate);
      }
    }
    releaseUnavailable(usable, nowMs);
    List<RangeCommand> commands = new ArrayList<>();
    for (RangePiece piece : pieces) {
      advance(piece, nowMs, commands);
    }
    plan(usable, mayMove, nowMs);
    write(usable, nowMs, commands);
    return commands;
  }

  private void releaseUnavailable(Map<RangeOwner, RangeCandidate> usable, long nowMs) {
    if (usable.isEmpty()) {
      return;
    }
    for (RangePiece piece : pieces) {
      if (piece.isOwned() && !piece.owner().map(usable::containsKey).orElse(false)) {
        piece.beginRelease(nowMs);
      }
      if (piece.target().isPresent() && !usable.containsKey(piece.target().get())) {
        piece.setTarget(null);
      }
    }
  }

  private void advance(RangePiece piece, long nowMs, List<RangeCommand> commands) {
    if (piece.isReleasing() && piece.isGrantExpired(nowMs)) {
      onExpired.accept(piece.assignment());
      piece.free(Optional.empty());
    } else if (piece.isReleasing() && piece.isCommandDue(nowMs)) {
      piece.onReleaseSent(++lastCommand);
      RangeAssignment released = piece.assignment(fences.getAsLong());
      commands.add(new RangeCommand.Release(lastCommand, released));
    } else if (piece.isGrantDue(nowMs)) {
      piece.onGrantSent(++lastCommand, timing.latestExpiryMs(nowMs + timing.callTimeoutMs()));
      commands.add(
          new RangeCommand.Grant(
              lastCommand, piece.assignment(), piece.handover(), piece.session()));
    }
  }

  private void plan(Map<RangeOwner, RangeCandidate> usable, boolean mayMove, long nowMs) {
    if (usable.isEmpty()) {
      return;
    }
    if (isInInitialWait(usable.size(), nowMs)) {
      return;
    }
    pieces = planner.placeFreePieces(pieces, usable.values(), loads);
    if (mayMove) {
      pieces = planner.balance(pieces, usable.values(), loads, nowMs);
    }
  }

  /**
   * Returns whether a service without a map still waits for its first upstreams, so that the first
   * ones don't get all keys.
   */
  private boolean isInInitialWait(int candidates, long nowMs) {
    if (firstCandidateMs == Long.MIN_VALUE) {
      firstCandidateMs = nowMs;
    }
    if (candidates > candidateCount) {
      candidateCount = candidates;
      newestCandidateMs = nowMs;
    }
    return mapVersion == 0
        && nowMs - newestCandidateMs < INITIAL_QUIET_MS
        && nowMs - firstCandidateMs < MAX_INITIAL_WAIT_MS;
  }

  private void write(
      Map<RangeOwner, RangeCandidate> usable, long nowMs, List<RangeCommand> commands) {
    boolean complete = pieces.stream().noneMatch(piece -> piece.isHeldBack(nowMs));
    boolean changed =
        rewriteDue
            || complete && !completed
            || pieces.stream()
                .anyMatch(
                    p ->
                        p.isFenceDue(nowMs)
                            || p.isFree()
                                && !p.isHeldBack(nowMs)
                                && p.target().map(usable::containsKey).orElse(false));
    if (writePending || !changed || nowMs < nextWriteMs) {
      return;
    }
    nextWriteMs = nowMs + writeIntervalMs;
    List<RangeAssignment> assignments = new ArrayList<>();
    for (RangePiece piece : pieces) {
      if (piece.isFree() && piece.target().isPresent() && !piece.isHeldBack(nowMs)) {
        piece.assign(fences.getAsLong());
      } else if (piece.isFenceDue(nowMs)) {
        piece.renewFence(fences.getAsLong());
      }
      if (piece.owner().isPresent()) {
        assignments.add(piece.assignment());
      }
    }
    writePending = true;
    rewriteDue = false;
    completed = complete;
    commands.add(new RangeCommand.Write(merged(assignments), mapVersion, complete));
  }

  /** Merges adjacent ranges with the same owner and fence. */
  private static List<RangeAssignment> merged(List<RangeAssignment> assignments) {
    List<RangeAssignment> merged = new ArrayList<>();
    for (RangeAssignment next : assignments) {
      RangeAssignment last = merged.isEmpty() ? null : merged.get(merged.size() - 1);
      if (last != null
          && last.owner().equals(next.owner())
          && last.fence() == next.fence()
          && last.range().last() + 1 == next.range().first()) {
        KeyRange combined = new KeyRange(last.range().first(), next.range().last());
        merged.set(merged.size() - 1, new RangeAssignment(combined, last.owner(), last.fence()));
      } else {
        merged.add(next);
      }
    }
    return merged;
  }

  /**
   * Processes the outcome of a grant.
   *
   * @param session connection over which the answer arrived; empty without an answer
   * @return whether the grant still mattered: its keys have not got another owner meanwhile, and
   *     their range was not divided
   */
  public boolean onGrant(
      RangeCommand.Grant command, CommandOutcome outcome, OptionalLong session, long nowMs) {
    Optional<RangePiece> match = findPiece(command.number());
    if (match.isEmpty()) {
      return false;
    }
    RangePiece piece = match.get();
    if (!piece.isOwned()) {
      piece.onAnswer(nowMs);
      return true;
    }
    piece.onAnswer(
        nowMs
            + (outcome == CommandOutcome.DONE
                ? timing.renewIntervalMs()
                : timing.retryIntervalMs()));
    switch (outcome) {
      case DONE:
        piece.confirmGrant(session);
        piece.correctGrantExpiry(timing.latestExpiryMs(nowMs));
        break;
      case FENCED:
        superseded = superseded || nowMs < heldBackUntilMs && command.session().isPresent();
        piece.requireNewFence();
        break;
      case OTHER_UPSTREAM:
        exclude(piece, command.assignment().owner(), nowMs);
        break;
      case NOT_SENT:
        piece.correctGrantExpiry(0);
        piece.onAnswer(nowMs);
        break;
      case UNREACHED:
        onUnreached(piece, command, nowMs);
        break;
      default:
        piece.requireNewFence();
    }
    return true;
  }

  /**
   * Processes a grant that was not delivered. A renewal whose connection is lost needs a new fence
   * at once; a first grant is retried until earlier grants have expired.
   */
  private void onUnreached(RangePiece piece, RangeCommand.Grant command, long nowMs) {
    piece.correctGrantExpiry(0);
    if (command.session().isPresent()) {
      piece.requireNewFence();
      piece.onAnswer(nowMs);
    } else if (piece.isGrantExpired(nowMs)) {
      exclude(piece, command.assignment().owner(), nowMs);
    }
  }

  private void exclude(RangePiece piece, RangeOwner owner, long nowMs) {
    excludedUntilMs.put(owner, nowMs + EXCLUSION_MS);
    piece.free(Optional.empty());
  }

  /**
   * Processes the outcome of a release.
   *
   * @param handover token that the upstream passes to the next owner; empty if it passes none
   * @return whether the release still mattered: its keys have not got another owner meanwhile
   */
  public boolean onRelease(
      RangeCommand.Release command, CommandOutcome outcome, Optional<String> handover, long nowMs) {
    Optional<RangePiece> match = findPiece(command.number());
    if (match.isEmpty()) {
      return false;
    }
    RangePiece piece = match.get();
    piece.onAnswer(nowMs + timing.retryIntervalMs());
    boolean released = outcome == CommandOutcome.DONE || outcome == CommandOutcome.OTHER_UPSTREAM;
    if (piece.isReleasing() && released) {
      piece.free(handover);
    }
    return true;
  }

  /**
   * Processes the success of a write of the map. A write without an answer must be retried
   * unchanged, since the first attempt may still be carried out.
   *
   * @param version version of the written map
   */
  public void onWritten(RangeCommand.Write command, long version, long nowMs) {
    writePending = false;
    mapVersion = version;
    pieces.stream().filter(RangePiece::isWritePending).forEach(piece -> piece.onMapWritten(nowMs));
  }

  /**
   * Continues after the store was restored from an older copy, whose map may lack what this
   * controller wrote: the map is written again. A pending write must be retried with the version
   * given here.
   *
   * <p>The restored store may also have lost that another leader took over for a while. An owner
   * that still accepts renewals under its fence has seen no command of another leader. Ranges
   * without such an owner are held back until all grants of another leader have expired, and until
   * then the map is not complete.
   *
   * @param restoredVersion number of the version of the restored map; 0 if there is none
   */
  public void onStoreRestored(long restoredVersion, long nowMs) {
    mapVersion = restoredVersion;
    rewriteDue = !writePending;
    heldBackUntilMs = EarlierGrants.afterTakeover(nowMs).latestExpiryMs(timing);
    completed = false;
    pieces.forEach(piece -> piece.requireProof(heldBackUntilMs));
  }

  /**
   * Returns whether an owner has shown, after the store was restored, that another leader took over
   * before; this controller must then not be used any more.
   */
  public boolean isSuperseded() {
    return superseded;
  }

  private Optional<RangePiece> findPiece(long command) {
    return pieces.stream().filter(piece -> piece.isInFlight(command)).findFirst();
  }

  /** Returns the assignments of all ranges that have an owner now, in order of their keys. */
  public List<RangeAssignment> assignments() {
    List<RangeAssignment> assignments = new ArrayList<>();
    pieces.stream()
        .filter(RangePiece::isOwned)
        .sorted(Comparator.comparingInt(p -> p.range().first()))
        .forEach(p -> assignments.add(p.assignment()));
    return assignments;
  }
}
