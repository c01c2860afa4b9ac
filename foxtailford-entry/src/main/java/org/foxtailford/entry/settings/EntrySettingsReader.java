package org.foxtailford.entry.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.settings.InvalidSettingsException;
import org.foxtailford.core.settings.SettingsFault;
import org.foxtailford.core.upstream.UpstreamAddress;

/**
 * Parses the settings of an entry VM and reports all faults at once, each with its JSON pointer.
 */
public final class EntrySettingsReader {

  private static final UpstreamAddress INVALID_ADDRESS = new UpstreamAddress("0.0.0.0", 1);

  private final List<SettingsFault> faults = new ArrayList<>();

  /**
   * Parses a settings file; unknown fields are ignored.
   *
   * @param file content of the file, as JSON
   * @throws InvalidSettingsException if there are faults; contains all of them
   */
  public static EntrySettings read(byte[] file) {
    return new EntrySettingsReader().parse(file);
  }

  private EntrySettings parse(byte[] file) {
    JsonNode root;
    try {
      root = new ObjectMapper().readTree(file);
    } catch (IOException e) {
      faults.add(fault("", "invalid JSON: " + e.getMessage()));
      throw new InvalidSettingsException(ResultCode.INVALID_SETTINGS, faults);
    }
    EntrySettings settings =
        new EntrySettings(
            text(root, "/node"),
            text(root, "/dataCentre"),
            address(root, "/listen/callers"),
            address(root, "/listen/readiness"),
            address(root, "/listen/peers"),
            addresses(root, "/seeds"),
            address(root, "/store/address"),
            (int) number(root, "/listen/metricsPort", 0, 65535),
            number(root, "/processorShare", 0.01, 1024),
            number(root, "/linkMbps", 0.01, 1_000_000),
            flag(root, "/firstStart"),
            new EntrySettings.Bounds(
                number(root, "/bounds/retryRatio", 0, 100),
                number(root, "/bounds/retrySlack", 0, 1_000_000),
                millis(root, "/bounds/retryWindow"),
                number(root, "/bounds/coldRatio", 0, 100),
                number(root, "/bounds/coldSlack", 0, 1_000_000),
                millis(root, "/bounds/maxHold"),
                millis(root, "/bounds/drain"),
                millis(root, "/bounds/stop")),
            tenantBounds(root),
            optionalFlag(root, "/costAware", false));
    if (!faults.isEmpty()) {
      throw new InvalidSettingsException(ResultCode.INVALID_SETTINGS, faults);
    }
    return settings;
  }

  private EntrySettings.TenantBounds tenantBounds(JsonNode root) {
    EntrySettings.TenantBounds defaults = EntrySettings.TenantBounds.DEFAULT;
    return new EntrySettings.TenantBounds(
        optionalFlag(root, "/bounds/failClosed", defaults.failClosed()),
        has(root, "/bounds/revoke") ? millis(root, "/bounds/revoke") : defaults.revokeMs(),
        has(root, "/bounds/quotaWindow")
            ? millis(root, "/bounds/quotaWindow")
            : defaults.quotaWindowMs(),
        has(root, "/bounds/quotaOverrun")
            ? number(root, "/bounds/quotaOverrun", 0, 100)
            : defaults.quotaOverrun(),
        has(root, "/bounds/quotaSlack")
            ? number(root, "/bounds/quotaSlack", 0, 1_000_000)
            : defaults.quotaSlack());
  }

  private static boolean has(JsonNode root, String path) {
    return !root.at(path).isMissingNode();
  }

  private boolean optionalFlag(JsonNode root, String path, boolean defaultValue) {
    return has(root, path) ? flag(root, path) : defaultValue;
  }

  private static SettingsFault fault(String path, String message) {
    return new SettingsFault(path, 0, message);
  }

  private String text(JsonNode root, String path) {
    JsonNode value = root.at(path);
    if (value.isTextual() && !value.textValue().isEmpty()) {
      return value.textValue();
    }
    faults.add(fault(path, "must be a non-empty string"));
    return "?";
  }

  private double number(JsonNode root, String path, double min, double max) {
    JsonNode value = root.at(path);
    if (!value.isNumber()) {
      faults.add(fault(path, "must be a number"));
      return min;
    }
    if (value.doubleValue() < min || value.doubleValue() > max) {
      faults.add(fault(path, value + " is not between " + min + " and " + max));
      return min;
    }
    return value.doubleValue();
  }

  private boolean flag(JsonNode root, String path) {
    JsonNode value = root.at(path);
    if (!value.isBoolean()) {
      faults.add(fault(path, "must be true or false"));
    }
    return value.asBoolean();
  }

  private long millis(JsonNode root, String path) {
    String text = text(root, path);
    Optional<Long> parsed = parseMillis(text);
    if (parsed.isEmpty()) {
      faults.add(fault(path, text + " is not a duration such as 1500ms or 2.5s"));
    }
    return parsed.orElse(1L);
  }

  private static Optional<Long> parseMillis(String text) {
    try {
      if (text.endsWith("ms")) {
        return Optional.of(Math.round(Double.parseDouble(text.substring(0, text.length() - 2))));
      }
      return text.endsWith("s")
          ? Optional.of(Math.round(1000 * Double.parseDouble(text.substring(0, text.length() - 1))))
          : Optional.empty();
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private UpstreamAddress address(JsonNode root, String path) {
    String text = text(root, path);
    return parseAddress(path, text);
  }

  private UpstreamAddress parseAddress(String path, String text) {
    int colon = text.lastIndexOf(':');
    try {
      return new UpstreamAddress(
          text.substring(0, Math.max(0, colon)), Integer.parseInt(text.substring(colon + 1)));
    } catch (IllegalArgumentException e) {
      faults.add(fault(path, text + " is not HOST:PORT"));
      return INVALID_ADDRESS;
    }
  }

  private List<UpstreamAddress> addresses(JsonNode root, String path) {
    List<UpstreamAddress> addresses = new ArrayList<>();
    for (JsonNode address : root.at(path)) {
      addresses.add(parseAddress(path, address.asText()));
    }
    return addresses;
  }
}
