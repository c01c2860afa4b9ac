package org.foxtailford.core.routing;

import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.schema.RequestKind;

/** What to do with a request. */
public sealed interface RouteDecision {

  /**
   * Send it to the owner of its key.
   *
   * @param service service of the request
   * @param kind kind of the request
   * @param upstream owner
   * @param keyHash hash of the key
   * @param fence fence of the owner's slice
   */
  record ToOwner(
      ServiceView service, RequestKind kind, Upstream upstream, long keyHash, Fence fence)
      implements RouteDecision {}

  /**
   * Send it to any upstream that the service's selector matches.
   *
   * @param service service of the request
   * @param kind kind of the request
   * @param upstream chosen upstream
   */
  record ToAny(ServiceView service, RequestKind kind, Upstream upstream) implements RouteDecision {}

  /**
   * Relay it to an entry VM of the data centre that is home to its key.
   *
   * @param dataCentre home of the key
   */
  record ToDataCentre(String dataCentre) implements RouteDecision {}

  /**
   * Let it wait: every upstream that may take it is full or on probation.
   *
   * @param service service of the request
   * @param kind kind of the request
   */
  record Wait(ServiceView service, RequestKind kind) implements RouteDecision {}

  /**
   * Refuse it.
   *
   * @param code reason
   * @param message details for the caller
   */
  record Refuse(ResultCode code, String message) implements RouteDecision {}
}
