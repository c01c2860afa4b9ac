package org.foxtailford.entry.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.foxtailford.core.quota.ShareHolding;
import org.foxtailford.core.quota.ShareLedger;
import org.foxtailford.core.quota.TenantShare;
import org.foxtailford.core.quota.TokenHolder;
import org.foxtailford.core.range.LeadershipTiming;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.entry.PeerReply;
import org.foxtailford.schema.entry.PeerReport;
import org.foxtailford.schema.entry.TokenHolding;
import org.foxtailford.schema.entry.TokenShare;
import org.jspecify.annotations.Nullable;

/**
 * Adds shares of quotas to reports to the leader and, on the leader, to its replies. Adds nothing
 * while no tenant has a limit. Confined to the event loop.
 */
public final class ShareReports {

  private final EntryIdentity self;
  private final EntryRoutingState state;
  private final QuotaLimits limits;
  private final TokenHolder holder;
  private final TokenExchange tokens;
  private final ControlClocks clocks;
  private final Set<String> reporters = new HashSet<>();
  private @Nullable ShareLedger ledger;
  private long ledgerTerm;
  private long number;
  private long sentMs;
  private long nextOwnReportMs;

  ShareReports(
      EntryIdentity self,
      EntryRoutingState state,
      QuotaLimits limits,
      TokenHolder holder,
      TokenExchange tokens,
      ControlClocks clocks) {
    this.self = Assert.notNull(self, "self");
    this.state = Assert.notNull(state, "state");
    this.limits = Assert.notNull(limits, "limits");
    this.holder = Assert.notNull(holder, "holder");
    this.tokens = Assert.notNull(tokens, "tokens");
    this.clocks = Assert.notNull(clocks, "clocks");
  }

  /** Adds this VM's shares and demand to a report to the leader. One report is made at a time. */
  void addTo(PeerReport.Builder report, Optional<KnownLeader> leader) {
    if (limits.tenants().isEmpty() || leader.isEmpty()) {
      return;
    }
    for (ShareHolding holding : nextReport(leader.get().term())) {
      report.addTokenHoldings(
          TokenHolding.newBuilder()
              .setTenant(holding.tenant())
              .setSharePpm(holding.ppm())
              .setDemandPerSecond(holding.demandPerSecond())
              .setLeftMs(holding.leftMs()));
    }
    report.setTokenReport(number);
  }

  private List<ShareHolding> nextReport(long term) {
    number++;
    sentMs = clocks.pauseAware().nowMs();
    return holder.report(term, tokens.ownTenants(self.node()), sentMs);
  }

  /** Applies the shares of the leader's reply to the last report. */
  void onReply(PeerReply reply) {
    if (reply.getTokenSharesCount() > 0) {
      List<TenantShare> shares = new ArrayList<>();
      for (TokenShare share : reply.getTokenSharesList()) {
        shares.add(new TenantShare(share.getTenant(), share.getSharePpm(), share.getTtlMs()));
      }
      holder.apply(reply.getTokenTerm(), shares, sentMs, clocks.pauseAware().nowMs());
    }
  }

  /**
   * Adds the sender's shares to a reply of the leader. A leader that has not confirmed its term
   * lately gives none, since another VM may lead.
   */
  void addTo(PeerReply.Builder reply, PeerReport report, OptionalLong ownTerm) {
    if (ownTerm.isEmpty() || !reply.getLeads() || report.getTokenReport() <= 0) {
      return;
    }
    List<ShareHolding> holdings = new ArrayList<>();
    for (TokenHolding holding : report.getTokenHoldingsList()) {
      holdings.add(
          new ShareHolding(
              holding.getTenant(),
              holding.getSharePpm(),
              holding.getDemandPerSecond(),
              holding.getLeftMs()));
    }
    process(
            ownTerm.getAsLong(),
            report.getNode(),
            report.getLife(),
            report.getTokenReport(),
            holdings)
        .forEach(
            share ->
                reply.addTokenShares(
                    TokenShare.newBuilder()
                        .setTenant(share.tenant())
                        .setSharePpm(share.ppm())
                        .setTtlMs(share.ttlMs())));
    reply.setTokenTerm(ownTerm.getAsLong());
  }

  private List<TenantShare> process(
      long term, String node, long life, long reportNumber, List<ShareHolding> holdings) {
    // The steady clock: a time of day set forward must not expire what a holder still uses.
    MillisClock clock = clocks.steady();
    if (ledger == null || term != ledgerTerm) {
      long previousExpiredMs =
          clock.nowMs() + ShareLedger.SHARE_TTL_MS + LeadershipTiming.ADVERTISE_WINDOW_MS;
      ledger = new ShareLedger(limits::find, previousExpiredMs);
      ledgerTerm = term;
      reporters.clear();
    }
    reporters.add(node);
    return ledger.onReport(node, life, reportNumber, holdings, haveAllReported(), clock.nowMs());
  }

  private boolean haveAllReported() {
    List<Row> members = state.mirror(SystemTables.MEMBERS).all().stream().toList();
    return !members.isEmpty()
        && members.stream().allMatch(row -> row.deleted() || reporters.contains(row.key()))
        && reporters.containsAll(state.entryVms());
  }

  /**
   * Gives this VM, the leader, its own shares.
   *
   * @param confirmedAgeMs time since the leadership was confirmed, in milliseconds
   */
  void reportToSelf(long term, long confirmedAgeMs) {
    long nowMs = clocks.steady().nowMs();
    boolean isDue = nowMs >= nextOwnReportMs || holder.isShareWanted();
    if (limits.tenants().isEmpty()
        || !isDue
        || confirmedAgeMs >= LeadershipTiming.ADVERTISE_WINDOW_MS) {
      return;
    }
    nextOwnReportMs = nowMs + ControlTiming.MIN_REPORT_MS;
    List<ShareHolding> holdings = nextReport(term);
    List<TenantShare> shares = process(term, self.node(), self.incarnation(), number, holdings);
    holder.apply(term, shares, sentMs, clocks.pauseAware().nowMs());
  }
}
