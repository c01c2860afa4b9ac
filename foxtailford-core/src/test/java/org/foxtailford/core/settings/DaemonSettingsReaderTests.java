package org.foxtailford.core.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.foxtailford.core.result.ResultCode;
import org.testng.annotations.Test;

public class DaemonSettingsReaderTests {

  private static final String FILES =
      "\"certificateFile\": \"a.pem\", \"keyFile\": \"a.key\", \"trustFile\": \"t.pem\"";

  private final DaemonSettingsReader reader = new DaemonSettingsReader();

  @Test
  public void operatorListenerOnLoopbackRequiresNoTlsFiles() {
    assertThat(DaemonSettingsReader.isTlsConfigured(reader.read(settings("127.0.0.1", ""))))
        .isFalse();
    assertThat(DaemonSettingsReader.isTlsConfigured(reader.read(settings("::1", "")))).isFalse();
  }

  @Test
  public void operatorListenerOffLoopbackRequiresTlsFiles() {
    assertThatThrownBy(() -> reader.read(settings("10.0.0.5", "")))
        .isInstanceOf(InvalidSettingsException.class)
        .hasMessageContaining("line 5: $.tls: must name certificate, key and trust files")
        .satisfies(
            e ->
                assertThat(((InvalidSettingsException) e).code())
                    .isEqualTo(ResultCode.INVALID_SETTINGS));
    assertThat(DaemonSettingsReader.isTlsConfigured(reader.read(settings("10.0.0.5", FILES))))
        .isTrue();
  }

  @Test
  public void incompleteSetOfTlsFilesIsAFault() {
    assertThatThrownBy(() -> reader.read(settings("127.0.0.1", "\"keyFile\": \"a.key\"")))
        .isInstanceOf(InvalidSettingsException.class)
        .hasMessageContaining("$.tls: needs certificateFile, keyFile and trustFile");
  }

  private static String settings(String operatorHost, String tls) {
    String endpoint = "{\"host\": \"%s\", \"port\": 1}";
    String loopback = String.format(endpoint, "127.0.0.1");
    return String.join(
        "\n",
        "{\"systemId\": \"s\", \"vm\": \"v\",",
        "\"dataCentre\": \"d\",",
        "\"callerListener\": " + loopback + ",",
        "\"peerListener\": " + loopback + ",",
        "\"operatorListener\": " + String.format(endpoint, operatorHost) + ",",
        "\"platform\": {\"address\": " + loopback + "},",
        "\"tls\": {" + tls + "}}");
  }
}
