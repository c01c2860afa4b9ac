package org.foxtailford.net.http;

import org.foxtailford.schema.Endpoint;

/**
 * Key of what belongs to an endpoint. The hash of the message itself loads the descriptors of all
 * settings, which costs a start more than the first request.
 *
 * @param host host of the endpoint
 * @param port port of the endpoint
 */
record EndpointKey(String host, int port) {

  static EndpointKey of(Endpoint endpoint) {
    return new EndpointKey(endpoint.getHost(), endpoint.getPort());
  }
}
