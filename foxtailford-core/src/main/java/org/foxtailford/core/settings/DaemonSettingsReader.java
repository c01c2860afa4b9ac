package org.foxtailford.core.settings;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.schema.DaemonSettings;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.TlsSettings;

/** Reads the settings of a daemon and checks rules that involve several values. Thread-safe. */
public final class DaemonSettingsReader {

  private static final String TLS = "$.tls";

  private final SettingsReader<DaemonSettings> reader =
      new SettingsReader<>(DaemonSettings::newBuilder, ResultCode.INVALID_SETTINGS);

  /**
   * Reads and checks settings.
   *
   * @param text JSON, in which comments are allowed
   * @return the settings, with defaults for absent fields
   * @throws InvalidSettingsException if the settings violate the schema or a TLS rule
   */
  public DaemonSettings read(String text) {
    ParsedDocument<DaemonSettings> read = reader.readWithLines(text);
    List<SettingsFault> faults = new ArrayList<>();
    checkTls(read, faults);
    if (!faults.isEmpty()) {
      throw new InvalidSettingsException(ResultCode.INVALID_SETTINGS, faults);
    }
    return read.message();
  }

  private static void checkTls(ParsedDocument<DaemonSettings> read, List<SettingsFault> faults) {
    TlsSettings tls = read.message().getTls();
    long fileCount =
        Stream.of(tls.getCertificateFile(), tls.getKeyFile(), tls.getTrustFile())
            .filter(file -> !file.isEmpty())
            .count();
    if (fileCount > 0 && !isTlsConfigured(read.message())) {
      String message = "needs certificateFile, keyFile and trustFile, or none of them";
      faults.add(new SettingsFault(TLS, read.lineOf(TLS), message));
    }
    Endpoint listener = read.message().getOperatorListener();
    if (fileCount == 0 && !isLoopback(listener)) {
      String message =
          "must name certificate, key and trust files, since $.operatorListener.host "
              + listener.getHost()
              + " is not a loopback address";
      faults.add(new SettingsFault(TLS, read.lineOf("$.operatorListener.host"), message));
    }
  }

  /** Returns whether the settings name all files that TLS requires. */
  public static boolean isTlsConfigured(DaemonSettings settings) {
    TlsSettings tls = settings.getTls();
    return !tls.getCertificateFile().isEmpty()
        && !tls.getKeyFile().isEmpty()
        && !tls.getTrustFile().isEmpty();
  }

  private static boolean isLoopback(Endpoint endpoint) {
    try {
      return InetAddress.getByName(endpoint.getHost()).isLoopbackAddress();
    } catch (UnknownHostException e) {
      return false;
    }
  }
}
