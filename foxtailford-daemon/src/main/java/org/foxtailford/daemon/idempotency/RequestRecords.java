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

/** This process's part in the records of request ids. Thread-safe. */
public final class RequestRecords {

  /** Row of the roster. */
  public static final String ROSTER_ROW = "request-records";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final RecordMember self;
  private final RecordHolder holder;
  private final PeerClaimPort port;
  private final ClaimCoordinator coordinator;
  private final PeerNetwork peers;
  private final TableService table;
  private final BooleanSupplier mayPlan;

  /**
   * Creates an empty part.
   *
   * @param identity this process
   * @param peers links to the other entry VMs
   * @param table keeps the roster
   * @param mayPlan whether this process writes changes of the roster
   * @param limits bounds of the records, the same on each entry VM
   * @param clock this VM's clock
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
    this.port = new PeerClaimPort(self, holder, peers);
    this.coordinator = new ClaimCoordinator(self, holder::roster, port, limits, clock);
  }

  private static RecordMember memberOf(PeerIdentity identity) {
    return RecordMember.newBuilder()
        .setVm(identity.vm())
        .setBootId(identity.bootId())
        .setDataCentre(identity.dataCentre())
        .build();
  }

  public ClaimCoordinator coordinator() {
    return coordinator;
  }

  public RecordHolder holder() {
    return holder;
  }

  /** Reads the roster, and writes the next one if this process is to. */
  public CompletableFuture<Void> poll(VmList vms) {
    return table
        .read(ROSTER_ROW)
        .thenCompose(
            row -> {
              RecordRoster current =
                  row.map(RequestRecords::parse).orElseGet(RecordRoster::getDefaultInstance);
              adopt(current);
              return mayPlan.getAsBoolean()
                  ? plan(current, row, running(current, vms))
                  : CompletableFuture.completedFuture(null);
            });
  }

  /** Returns the roster in a row. */
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

  /** Returns the processes on the VMs of the VM list; one that isn't heard keeps its place. */
  private List<RecordMember> running(RecordRoster current, VmList vms) {
    List<RecordMember> running = new ArrayList<>();
    for (VmEntry vm : vms.getVmsList()) {
      if (vm.getRole() == VmRole.VM_ROLE_ENTRY) {
        heard(vm.getName()).or(() -> memberOn(vm.getName(), current)).ifPresent(running::add);
      }
    }
    return running;
  }

  private Optional<RecordMember> heard(String vm) {
    if (vm.equals(self.getVm())) {
      return Optional.of(self);
    }
    return peers.linkTo(vm).flatMap(PeerLink::remote).map(RequestRecords::memberOf);
  }

  private static Optional<RecordMember> memberOn(String vm, RecordRoster current) {
    return current.getMembersList().stream().filter(m -> m.getVm().equals(vm)).findFirst();
  }

  private CompletableFuture<Void> plan(
      RecordRoster current, Optional<TableRow> row, List<RecordMember> running) {
    if (RosterPlanner.next(current, running, Set.copyOf(current.getMembersList())).isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    long version = row.map(TableRow::version).orElse(TableService.ABSENT);
    return settled(current)
        .thenCompose(
            settled ->
                RosterPlanner.next(current, running, settled)
                    .map(next -> table.write(ROSTER_ROW, version, next.toByteString()))
                    .orElseGet(() -> CompletableFuture.completedFuture(null)))
        .thenApply(written -> null);
  }

  private CompletableFuture<Set<RecordMember>> settled(RecordRoster current) {
    Set<RecordMember> settled = ConcurrentHashMap.newKeySet();
    HandOverRequest question = HandOverRequest.newBuilder().setRoster(current).build();
    CompletableFuture<?>[] answers =
        current.getMembersList().stream()
            .map(
                member ->
                    port.handOver(member, question)
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

  /** Asks for the records that are still missing. */
  public void tick() {
    RosterView known = holder.roster();
    holder.pendingSources().forEach(source -> fetch(known, source, ""));
  }

  private void fetch(RosterView known, RecordMember source, String afterKey) {
    HandOverRequest request =
        HandOverRequest.newBuilder()
            .setRoster(known.roster())
            .setReceiver(self)
            .setAfterKey(afterKey)
            .build();
    port.handOver(source, request)
        .thenAccept(
            page -> {
              holder.receive(source, known.version(), page);
              if (!page.getLast()) {
                fetch(known, source, page.getRecords(page.getRecordsCount() - 1).getKey());
              }
            });
  }
}
