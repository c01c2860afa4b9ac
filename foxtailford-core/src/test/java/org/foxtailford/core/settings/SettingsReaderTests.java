package org.foxtailford.core.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import org.foxtailford.core.result.ResultCode;
import org.foxtailford.schema.PlatformSettings;
import org.testng.annotations.Test;

public class SettingsReaderTests {

  private final SettingsReader<PlatformSettings> reader =
      new SettingsReader<>(PlatformSettings::newBuilder, ResultCode.INVALID_SETTINGS);

  @Test
  public void commentsAreIgnoredAndDefaultsAreSet() {
    PlatformSettings settings =
        reader.read("// comment\n{\"address\": {\"host\": \"127.0.0.1\", \"port\": 1 /* x */}}");
    assertThat(settings.getTimeoutMs()).isEqualTo(1000);
    assertThat(settings.getAddress().getHost()).isEqualTo("127.0.0.1");
  }

  @Test
  public void allFaultsAreReportedWithPathAndLine() {
    String text =
        "{\n \"address\": {\"host\": \"example\", \"port\": 70000},\n"
            + " \"timeoutMs\": \"soon\",\n \"timeout\": 1\n}";
    assertThat(faultsOf(text).faults())
        .extracting(SettingsFault::path)
        .containsExactly("$.address.host", "$.address.port", "$.timeoutMs", "$.timeout");
    assertThat(faultsOf(text).faults()).extracting(SettingsFault::line).containsExactly(2, 2, 3, 4);
  }

  @Test
  public void missingRequiredKeyIsAFault() {
    assertThat(faultsOf("{}").faults())
        .extracting(SettingsFault::path)
        .containsExactly("$.address");
  }

  @Test
  public void duplicateKeyIsAFault() {
    String address = "\"address\": {\"host\": \"::1\", \"port\": 1}";
    assertThat(faultsOf("{" + address + ", " + address + "}").getMessage())
        .contains("key occurs more than once");
  }

  @Test
  public void truncatedDocumentIsAFault() {
    assertThat(faultsOf("{\"address\": {").getMessage()).contains("not valid JSON");
  }

  private InvalidSettingsException faultsOf(String text) {
    return catchThrowableOfType(InvalidSettingsException.class, () -> reader.read(text));
  }
}
