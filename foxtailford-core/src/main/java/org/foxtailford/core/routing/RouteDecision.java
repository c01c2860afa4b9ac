package org.foxtailford.core.routing;

import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.schema.RequestKind;

/** Decision where to send a request, or to queue or refuse it. */
public sealed interface RouteDecision {

  /**
   * Sends the request to the owner of its key.
   *
   * @param service service of the request
   * @param kind kind of the request
   * @param upstream owner of the key
   * @param keyHash hash of the key
   * @param fence fence of the owner's slice
   */
  record ToOwner(
      ServiceView service, RequestKind kind, Upstream upstream, long keyHash, Fence fence)
      implements RouteDecision {}

  /**
   * Sends the request to an upstream chosen among all that match the service's selector.
   *
   * @param service service of the request
   * @param kind kind of the request
   * @param upstream the chosen upstream
   */
  record ToAny(ServiceView service, RequestKind kind, Upstream upstream) implements RouteDecision {}

  /**
   * Relays the request to an entry VM of the home data centre of its key.
   *
   * @param dataCentre name of the home data centre
   */
  record ToDataCentre(String dataCentre) implements RouteDecision {}

  /**
   * Queues the request, because every eligible upstream is full or on probation.
   *
   * @param service service of the request
   * @param kind kind of the request
   */
  record Wait(ServiceView service, RequestKind kind) implements RouteDecision {}

  /**
   * Refuses the request.
   *
   * @param code result code that gives the reason
   * @param message details of the reason, for the caller
   */
  record Refuse(ResultCode code, String message) implements RouteDecision {}
}
