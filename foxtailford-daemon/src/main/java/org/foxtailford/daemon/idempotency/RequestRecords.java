package org.foxtailford.daemon.idempotency;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.foxtailford.core.idempotency.ClaimCoordinator;
import org.foxtailford.core.idempotency.RecordHolder;
import org.foxtailford.core.idempotency.RecordLimits;
import org.foxtailford.core.idempotency.RosterPlanner;
import org.foxtailford.core.idempotency.RosterView;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.peer.PeerNetwork;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.net.peer.PeerLink;
import org.foxtailford.schema.HandOverPage;
import org.foxtailford.schema.HandOverRequest;
import org.foxtailford.schema.RecordMember;
import org.foxtailford.schema.RecordRoster;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;

/**
 * Takes part, for this process, in the replicated records of request ids: holds records, claims
 * ids, and keeps the roster of record holders up to date. Thread-safe.
 */
public final class RequestRecords {

  /** Name of the table row that stores the roster. */
  public static final String ROSTER_ROW = "request-records";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final RecordMember self;
  private final RecordHolder holder;
  private final PeerClaimPort claimPort;
  private final ClaimCoordinator coordinator;
  private final PeerNetwork peers;
  private final TableService table;
  private final BooleanSupplier mayPlan;

  /**
   * Creates an instance that holds no records and has no roster yet.
   *
   * @param identity identifies this process
   * @param peers links to the other entry VMs
   * @param table stores the roster
   * @param mayPlan returns whether this process currently writes roster changes
   * @param limits limits of the records; must be equal on all entry VMs
   * @param clock clock of this VM
   */
  public RequestRecords(
      PeerIdentity identity,
      PeerNetwork peers,
      TableService table,
      BooleanSupplier mayPlan,
      RecordLimits limits,
      MillisClock clock) {
    this.self = memberOf(identity);
    this.peers = Assert.notNull(peers, "peers");
    this.table = Assert.notNull(table, "table");
    this.mayPlan = Assert.notNull(mayPlan, "mayPlan");
    this.holder = new RecordHolder(self, limits, clock);
    this.claimPort = new PeerClaimPort(self, holder, peers);
    this.coordinator = new ClaimCoordinator(self, holder::roster, claimPort, limits, clock);
  }

  private static RecordMember memberOf(PeerIdentity identity) {
    return RecordMember.newBuilder()
        .setVm(identity.vm())
        .setBootId(identity.bootId())
        .setDataCentre(identity.dataCentre())
        .build();
  }

  /** Returns the coordinator that claims request ids for this process. */
  public ClaimCoordinator coordinator() {
    return coordinator;
  }

  /** Returns the records held by this process, for claims that come from peers. */
  public RecordHolder holder() {
    return holder;
  }

  /**
   * Reads and adopts the stored roster, and writes the next one if this process plans changes.
   *
   * @param vms current VM list
   * @return completes after the write, if any; fails if the table can't be read or written, or if
   *     the stored roster is unreadable
   */
  public CompletableFuture<Void> poll(VmList vms) {
    return table
        .read(ROSTER_ROW)
        .thenCompose(
            row -> {
              RecordRoster current =
                  row.map(RequestRecords::parse).orElseGet(RecordRoster::getDefaultInstance);
              adopt(current);
              return mayPlan.getAsBoolean()
                  ? planNext(current, row, runningMembers(current, vms))
                  : CompletableFuture.completedFuture(null);
            });
  }

  /**
   * Parses the roster in a row.
   *
   * @throws IllegalStateException if the row's value isn't a roster
   */
  public static RecordRoster parse(TableRow row) {
    try {
      return RecordRoster.parseFrom(row.value());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("the roster of request records is unreadable", e);
    }
  }

  private void adopt(RecordRoster current) {
    if (current.getVersion() > holder.rosterVersion()) {
      holder.adopt(current);
      logger.atInfo().log("request records: roster version %d", current.getVersion());
    }
  }

  /**
   * Returns the processes on the entry VMs of the VM list. A VM without a peer link keeps the
   * process that the roster names.
   */
  private List<RecordMember> runningMembers(RecordRoster current, VmList vms) {
    List<RecordMember> running = new ArrayList<>();
    for (VmEntry vm : vms.getVmsList()) {
      if (vm.getRole() == VmRole.VM_ROLE_ENTRY) {
        findConnected(vm.getName())
            .or(() -> findInRoster(vm.getName(), current))
            .ifPresent(running::add);
      }
    }
    return running;
  }

  private Optional<RecordMember> findConnected(String vm) {
    if (vm.equals(self.getVm())) {
      return Optional.of(self);
    }
    return peers.linkTo(vm).flatMap(PeerLink::remote).map(RequestRecords::memberOf);
  }

  private static Optional<RecordMember> findInRoster(String vm, RecordRoster current) {
    return current.getMembersList().stream()
        .filter(member -> member.getVm().equals(vm))
        .findFirst();
  }

  private CompletableFuture<Void> planNext(
      RecordRoster current, Optional<TableRow> row, List<RecordMember> running) {
    if (RosterPlanner.next(current, running, Set.copyOf(current.getMembersList())).isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    long version = row.map(TableRow::version).orElse(TableService.ABSENT);
    return querySettled(current)
        .thenCompose(
            settled ->
                RosterPlanner.next(current, running, settled)
                    .map(next -> table.write(ROSTER_ROW, version, next.toByteString()))
                    .orElseGet(() -> CompletableFuture.completedFuture(null)))
        .thenApply(written -> null);
  }

  /** Asks all members, and returns those that have every record of the current roster version. */
  private CompletableFuture<Set<RecordMember>> querySettled(RecordRoster current) {
    Set<RecordMember> settled = ConcurrentHashMap.newKeySet();
    HandOverRequest query = HandOverRequest.newBuilder().setRoster(current).build();
    CompletableFuture<?>[] answers =
        current.getMembersList().stream()
            .map(
                member ->
                    claimPort
                        .requestHandover(member, query)
                        .thenAccept(page -> addIfSettled(settled, member, page, current))
                        .exceptionally(failure -> null))
            .toArray(CompletableFuture[]::new);
    return CompletableFuture.allOf(answers).thenApply(done -> settled);
  }

  private static void addIfSettled(
      Set<RecordMember> settled, RecordMember member, HandOverPage page, RecordRoster current) {
    if (page.getSettledVersion() == current.getVersion()) {
      settled.add(member);
    }
  }

  /** Requests the records that this process must hold but hasn't received yet. */
  public void tick() {
    RosterView view = holder.roster();
    holder.pendingSources().forEach(source -> fetchRecords(view, source, ""));
  }

  private void fetchRecords(RosterView view, RecordMember source, String afterKey) {
    HandOverRequest request =
        HandOverRequest.newBuilder()
            .setRoster(view.roster())
            .setReceiver(self)
            .setAfterKey(afterKey)
            .build();
    claimPort
        .requestHandover(source, request)
        .thenAccept(
            page -> {
              holder.receive(source, view.version(), page);
              if (!page.getLast()) {
                fetchRecords(view, source, page.getRecords(page.getRecordsCount() - 1).getKey());
              }
            });
  }
}
