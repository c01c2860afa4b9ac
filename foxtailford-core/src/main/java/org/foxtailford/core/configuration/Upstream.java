package org.foxtailford.core.configuration;

import java.util.Map;
import org.foxtailford.schema.Endpoint;

/**
 * A VM that serves requests, with the labels that operators gave it.
 *
 * @param name name of the VM
 * @param dataCentre data centre of the VM
 * @param address where it takes requests
 * @param labels its labels, those of its data centre, and {@code vm} and {@code data-centre}
 * @param available whether it may receive new work: live, not draining, data centre not out
 */
public record Upstream(
    String name,
    String dataCentre,
    Endpoint address,
    Map<String, String> labels,
    boolean available) {}
