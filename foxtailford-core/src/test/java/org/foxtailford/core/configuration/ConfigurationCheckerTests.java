package org.foxtailford.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.tuple;

import java.util.List;
import java.util.Optional;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;
import org.testng.annotations.Test;

public class ConfigurationCheckerTests {

  private static final Optional<VmList> VMS = Optional.of(vms("m1", "m2"));

  private final ConfigurationChecker checker = new ConfigurationChecker();

  @Test
  public void validDocumentHasNoFindings() {
    String text =
        document(
            service("menu", "service=menu"),
            "{\"name\": \"m1\", \"labels\": " + "{\"service\": \"menu\"}}",
            "");
    assertThat(checker.check(text, VMS).findings()).isEmpty();
  }

  @Test
  public void everyErrorIsReportedWithPathLineAndHint() {
    String text =
        document(
            service("menu", "zone>>a, tier=gold, ??") + ",\n" + service("menu", "vm"),
            "{\"name\": \"m1\"},\n{\"name\": \"m1\"}",
            "{\"name\": \"dc\"},\n{\"name\": \"dc\"}");
    List<ConfigurationFinding> findings = checker.check(text, VMS).findings();
    assertThat(findings)
        .extracting(ConfigurationFinding::path, ConfigurationFinding::line)
        .containsExactly(
            tuple("$.services[1].name", 2),
            tuple("$.vms[1].name", 4),
            tuple("$.dataCentres[1].name", 6),
            tuple("$.services[0].selector", 1));
    assertThat(findings.get(3).message()).contains("\"zone>>a\"", "\"??\"");
    assertThat(findings).allMatch(finding -> finding.severity() == FindingSeverity.ERROR);
    assertThat(findings).noneMatch(finding -> finding.hint().isEmpty());
  }

  @Test
  public void keyedServiceWhoseUpstreamsDoNotCheckFencesIsAnError() {
    String text =
        "{\"services\": [{\"name\": \"menu\", \"selector\": \"vm\", \"keyed\": true,"
            + " \"kinds\": [{\"name\": \"get\", \"idempotent\": true}]}]}";
    assertThat(checker.check(text, VMS).findings())
        .extracting(ConfigurationFinding::path, ConfigurationFinding::severity)
        .containsExactly(tuple("$.services[0].upstreamsCheckFences", FindingSeverity.ERROR));
  }

  @Test
  public void moreColdSlotsThanWarmSlotsAreAnError() {
    String text =
        "{\"services\": [{\"name\": \"menu\", \"selector\": \"vm\", \"coldSlots\": 5,"
            + " \"kinds\": [{\"name\": \"get\", \"idempotent\": true}]}]}";
    assertThat(checker.check(text, VMS).findings())
        .extracting(ConfigurationFinding::path, ConfigurationFinding::severity)
        .containsExactly(tuple("$.services[0].coldSlots", FindingSeverity.ERROR));
  }

  @Test
  public void duplicateKindIsAnError() {
    String kind = "{\"name\": \"get\", \"idempotent\": true}";
    String text =
        "{\"services\": [{\"name\": \"menu\", \"selector\": \"vm\", \"kinds\": ["
            + kind
            + ","
            + kind
            + "]}]}";
    assertThat(checker.check(text, VMS).findings())
        .extracting(ConfigurationFinding::path)
        .containsExactly("$.services[0].kinds[1].name");
  }

  @Test
  public void limitOutOfRangeIsAnErrorWithItsLine() {
    String text =
        "{\"services\": [{\"name\": \"menu\", \"selector\": \"vm\", \"kinds\": [],\n"
            + "\"slotsPerUpstream\": 0}]}";
    ConfigurationReport report = checker.check(text, VMS);
    assertThat(report.findings())
        .extracting(ConfigurationFinding::path, ConfigurationFinding::line)
        .containsExactly(tuple("$.services[0].slotsPerUpstream", 2));
    assertThatThrownBy(() -> report.requireAcceptable(true))
        .isInstanceOf(InvalidConfigurationException.class);
  }

  @Test
  public void selectorWithoutUpstreamIsRefusedUnlessForced() {
    ConfigurationReport report = checker.check(document(service("menu", "vm=none"), "", ""), VMS);
    assertThatThrownBy(() -> report.requireAcceptable(false))
        .isInstanceOf(InvalidConfigurationException.class)
        .hasMessageContaining("without an upstream");
    assertThat(report.requireAcceptable(true).getServicesCount()).isEqualTo(1);
  }

  @Test
  public void documentWithAllDataCentresOutIsRefusedUnlessForced() {
    String text = document(service("menu", "vm"), "", "{\"name\": \"dc\", \"out\": true}");
    assertThat(checker.check(text, VMS).blockingFindings(false))
        .extracting(ConfigurationFinding::path)
        .containsExactly("$.services[0].selector", "$");
    assertThat(checker.check(text, VMS).blockingFindings(true)).isEmpty();
  }

  @Test
  public void unknownLabelAndUnknownVmAreWarnings() {
    String text = document(service("menu", "vm, !rack"), "{\"name\": \"other\"}", "");
    ConfigurationReport report = checker.check(text, VMS);
    assertThat(report.findings())
        .extracting(ConfigurationFinding::path)
        .containsExactly("$.vms[0].name", "$.services[0].selector");
    assertThat(report.blockingFindings(false)).isEmpty();
  }

  @Test
  public void selectorsAreNotCheckedWithoutVmList() {
    ConfigurationReport report =
        checker.check(document(service("menu", "vm=none"), "", ""), Optional.empty());
    assertThat(report.blockingFindings(false)).isEmpty();
    assertThat(report.findings()).hasSize(1);
  }

  @Test
  public void documentOverTheSizeLimitIsRejected() {
    String text = "/*" + "x".repeat(ConfigurationChecker.MAX_DOCUMENT_BYTES) + "*/{}";
    assertThat(checker.check(text, VMS).blockingFindings(true))
        .extracting(ConfigurationFinding::path)
        .containsExactly("$");
  }

  private static String service(String name, String selector) {
    return String.format(
        "{\"name\": \"%s\", \"selector\": \"%s\", \"kinds\": [{\"name\": \"get\"}]}",
        name, selector);
  }

  private static String document(String services, String vms, String dataCentres) {
    return String.format(
        "{\"services\": [%s],%n\"vms\": [%s],%n\"dataCentres\": [%s]}", services, vms, dataCentres);
  }

  private static VmList vms(String... names) {
    VmList.Builder list = VmList.newBuilder();
    for (String name : names) {
      list.addVms(
          VmEntry.newBuilder()
              .setName(name)
              .setDataCentre("dc")
              .setRole(VmRole.VM_ROLE_UPSTREAM)
              .setState(VmState.VM_STATE_LIVE));
    }
    return list.build();
  }
}
