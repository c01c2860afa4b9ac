package org.foxtailford.core.review;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.foxtailford.core.route.RouteRule;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.route.ServicePolicy;
import org.foxtailford.core.tenant.Tenant;
import org.foxtailford.core.tenant.TenantDirectory;

/** Lists what differs between two configurations. API keys appear as digests. Stateless. */
public final class ConfigurationComparison {

  private ConfigurationComparison() {}

  /** Returns one line for each part that was added, removed or changed, in a fixed order. */
  public static List<String> compare(RoutingConfiguration from, RoutingConfiguration to) {
    List<String> lines = new ArrayList<>();
    compare(
        "route",
        byName(from.routes(), RouteRule::name),
        byName(to.routes(), RouteRule::name),
        lines);
    compare(
        "service",
        byName(from.services(), ServicePolicy::name),
        byName(to.services(), ServicePolicy::name),
        lines);
    if (from.tenants().isPresent() != to.tenants().isPresent()) {
      lines.add(
          to.tenants().isPresent()
              ? "requests need API keys from now on"
              : "requests need no API keys any more");
    }
    compareTenants(
        from.tenants().orElse(new TenantDirectory(List.of())),
        to.tenants().orElse(new TenantDirectory(List.of())),
        lines);
    if (!from.limits().equals(to.limits())) {
      lines.add("limits changed from " + from.limits() + " to " + to.limits());
    }
    return lines;
  }

  private static <T> Map<String, T> byName(Collection<T> entries, Function<T, String> name) {
    Map<String, T> byName = new TreeMap<>();
    entries.forEach(entry -> byName.put(name.apply(entry), entry));
    return byName;
  }

  private static <T> void compare(
      String kind, Map<String, T> from, Map<String, T> to, List<String> lines) {
    Set<String> names = new TreeSet<>(from.keySet());
    names.addAll(to.keySet());
    for (String name : names) {
      T before = from.get(name);
      T after = to.get(name);
      if (before == null) {
        lines.add(kind + " " + name + " added: " + after);
      } else if (after == null) {
        lines.add(kind + " " + name + " removed");
      } else if (!before.equals(after)) {
        lines.add(kind + " " + name + " changed from " + before + " to " + after);
      }
    }
  }

  private static void compareTenants(TenantDirectory from, TenantDirectory to, List<String> lines) {
    compare(
        "tenant", byName(from.tenants(), Tenant::name), byName(to.tenants(), Tenant::name), lines);
    for (Tenant tenant : to.tenants()) {
      String name = tenant.name();
      Set<String> added = new TreeSet<>(to.keyDigests(name));
      added.removeAll(from.keyDigests(name));
      Set<String> removed = new TreeSet<>(from.keyDigests(name));
      removed.removeAll(to.keyDigests(name));
      added.forEach(digest -> lines.add("tenant " + name + " gets API key with digest " + digest));
      removed.forEach(
          digest -> lines.add("tenant " + name + " loses API key with digest " + digest));
    }
  }
}
