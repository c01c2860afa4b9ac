package org.foxtailford.net.http;

import org.foxtailford.schema.Endpoint;

/**
 * Map key for the state of an endpoint. Hashing the protobuf message itself would load the
 * descriptors of all settings, which takes longer at startup than the first request.
 *
 * @param host host name or IP address
 * @param port TCP port
 */
record EndpointKey(String host, int port) {

  static EndpointKey of(Endpoint endpoint) {
    return new EndpointKey(endpoint.getHost(), endpoint.getPort());
  }
}
