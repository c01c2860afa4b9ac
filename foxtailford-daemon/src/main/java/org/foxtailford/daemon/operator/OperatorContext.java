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
 * What the operators' interface shows and changes.
 *
 * @param vm name of this VM
 * @param snapshots gives the state that requests are routed by
 * @param inForce configuration of this VM
 * @param configurations stored configurations
 * @param router decision that explanations are made with
 * @param accepting tells whether this VM takes new requests
 * @param leads tells whether this VM leads its data centre
 * @param peerVersions gives the configuration version that each live peer last reported
 * @param writeIds gives ids for changes that come without one
 * @param certificateRequired whether operators must come with a certificate
 * @param onAccepted runs after a configuration was accepted here
 */
public record OperatorContext(
    String vm,
    Supplier<RoutingSnapshot> snapshots,
    ActiveConfiguration inForce,
    ConfigurationStore configurations,
    RequestRouter router,
    BooleanSupplier accepting,
    BooleanSupplier leads,
    Supplier<Map<String, Long>> peerVersions,
    LongSupplier writeIds,
    boolean certificateRequired,
    Runnable onAccepted) {}
