package org.foxtailford.core.configuration;

import java.util.Map;
import org.foxtailford.schema.Endpoint;

/**
 * A VM that serves requests, with its labels and availability.
 *
 * @param name name of the VM
 * @param dataCentre data centre of the VM
 * @param address endpoint that accepts requests
 * @param labels labels of the VM and its data centre, and {@code vm} and {@code data-centre}
 * @param available whether it may receive new work: live, not draining, data centre neither out nor
 *     lost
 */
public record Upstream(
    String name,
    String dataCentre,
    Endpoint address,
    Map<String, String> labels,
    boolean available) {}
