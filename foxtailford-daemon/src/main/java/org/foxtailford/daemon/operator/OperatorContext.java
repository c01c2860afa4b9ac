package org.foxtailford.daemon.operator;

import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.foxtailford.core.configuration.ActiveConfiguration;
import org.foxtailford.core.configuration.ConfigurationStore;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.RoutingSnapshot;

/**
 * State that the operators' interface reports and changes.
 *
 * @param vm name of this VM
 * @param snapshots supplies the current routing snapshot
 * @param activeConfiguration configuration that this VM currently applies
 * @param configurations store of configuration versions
 * @param router computes the routing decisions that {@code /v1/why} explains
 * @param accepting whether this VM accepts new requests
 * @param leads whether this VM is the leader of its data centre
 * @param peerVersions supplies the configuration version that each live peer last reported, by VM
 *     name
 * @param writeIds generates ids for changes that are sent without one
 * @param certificateRequired whether requests below {@code /v1} must present a client certificate
 * @param onAccepted callback that runs after this VM has accepted a configuration
 */
public record OperatorContext(
    String vm,
    Supplier<RoutingSnapshot> snapshots,
    ActiveConfiguration activeConfiguration,
    ConfigurationStore configurations,
    RequestRouter router,
    BooleanSupplier accepting,
    BooleanSupplier leads,
    Supplier<Map<String, Long>> peerVersions,
    LongSupplier writeIds,
    boolean certificateRequired,
    Runnable onAccepted) {}
