package org.foxtailford.entry.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import org.foxtailford.core.quota.EmergencyTokens;
import org.foxtailford.core.quota.QuotaTerms;
import org.foxtailford.core.quota.TokenCache;
import org.foxtailford.core.quota.TokenHolder;
import org.foxtailford.core.util.Assert;
import org.foxtailford.entry.request.QuotaGate;
import org.foxtailford.entry.request.RequestMetrics;
import org.foxtailford.net.http.HttpClient;

/** The components of an entry VM that enforce quotas. */
public final class QuotaComponents {

  private final EntryRoutingState state;
  private final Runnable reportEarly;
  private final ExchangeClient exchange;
  private final TokenExchange tokens;
  private final ShareReports shares;
  private final QuotaGate gate;

  /**
   * Creates the components.
   *
   * @param client makes the calls to other VMs
   * @param reportEarly makes the next report to the leader due at once
   */
  public QuotaComponents(
      EntryIdentity self,
      EntryRoutingState state,
      QuotaTerms terms,
      HttpClient client,
      RequestMetrics metrics,
      ControlClocks clocks,
      ScheduledExecutorService loop,
      Runnable reportEarly) {
    this.state = Assert.notNull(state, "state");
    this.reportEarly = Assert.notNull(reportEarly, "reportEarly");
    QuotaLimits limits = new QuotaLimits(state);
    TokenHolder holder = new TokenHolder(limits::find, terms);
    TokenCache cache =
        new TokenCache(limits::find, terms, new EmergencyTokens(terms), this::registeredVms);
    tokens =
        new TokenExchange(
            limits,
            new DataCentreCoordinators(self, state),
            holder,
            cache,
            clocks.pauseAware(),
            loop,
            new TokenListener());
    exchange = new ExchangeClient(self, client, List.of(tokens), clocks.steady(), loop);
    shares = new ShareReports(self, state, limits, holder, tokens, clocks);
    gate = new QuotaGate(tokens, metrics, clocks.steady(), loop);
  }

  /**
   * Returns the number of VMs among which emergency tokens are divided. VMs that are registered but
   * not live count: they may be live on the other side of a cut.
   */
  private int registeredVms() {
    long registered =
        state.mirror(SystemTables.MEMBERS).all().stream().filter(row -> !row.deleted()).count();
    return registered == 0 ? 0 : (int) Math.max(registered, state.entryVms().size());
  }

  private final class TokenListener implements TokenExchange.Listener {

    @Override
    public Optional<ExchangePeer> firstUsable(List<ExchangePeer> inOrder) {
      return exchange.firstUsable(inOrder);
    }

    @Override
    public void call(ExchangePeer target) {
      exchange.call(target);
    }

    @Override
    public void onTokens() {
      gate.onTokens();
    }

    @Override
    public void onShareWanted() {
      reportEarly.run();
    }
  }

  /** Starts the periodic tasks. */
  public void start() {
    tokens.start();
  }

  /** Returns the client that makes and answers exchange calls. */
  public ExchangeClient exchange() {
    return exchange;
  }

  /** Returns the holder's and the VM's side of the token calls. */
  public TokenExchange tokens() {
    return tokens;
  }

  /** Returns the contents of reports to the leader. */
  public ShareReports shares() {
    return shares;
  }

  /** Returns the gate for requests of tenants with a limit. */
  public QuotaGate gate() {
    return gate;
  }
}
