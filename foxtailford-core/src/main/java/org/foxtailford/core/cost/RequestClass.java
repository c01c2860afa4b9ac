package org.foxtailford.core.cost;

import org.foxtailford.core.util.Assert;

/**
 * Properties of a request by which its cost is estimated.
 *
 * @param service name of the service
 * @param route name of the route; empty for all of them
 * @param keyRange number of the range of keys, from 0 to 63; {@link #ANY} for all of them
 * @param bodyPower number of bits of the body's length; {@link #ANY} for all lengths
 * @param tenant name of the tenant; empty for all of them and for none
 */
public record RequestClass(
    String service, String route, int keyRange, int bodyPower, String tenant) {

  /** Stands for all ranges of keys, or all lengths of a body. */
  public static final int ANY = -1;

  /** Number of ranges into which the keys are divided. */
  public static final int KEY_RANGES = 64;

  /** Number of levels, from the class of one request to that of the whole service. */
  static final int LEVELS = 4;

  /** Validates the names. */
  public RequestClass {
    Assert.hasLength(service, "service");
    Assert.notNull(route, "route");
    Assert.notNull(tenant, "tenant");
  }

  /** Returns the class of all requests of a service. */
  public static RequestClass ofService(String service) {
    return new RequestClass(service, "", ANY, ANY, "");
  }

  /** Returns the class of a request whose body has a given length. */
  public static RequestClass of(
      String service, String route, int keyRange, long bodyBytes, String tenant) {
    int power = Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, bodyBytes));
    return new RequestClass(service, route, keyRange, power, tenant);
  }

  /**
   * Returns the class that contains this one at a level: 0 is the class itself, 1 all ranges of
   * keys, 2 all tenants and lengths, 3 all routes of the service.
   */
  RequestClass atLevel(int level) {
    return switch (level) {
      case 0 -> this;
      case 1 -> new RequestClass(service, route, ANY, bodyPower, tenant);
      case 2 -> new RequestClass(service, route, ANY, ANY, "");
      default -> ofService(service);
    };
  }
}
