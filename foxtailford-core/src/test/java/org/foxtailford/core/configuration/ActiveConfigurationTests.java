package org.foxtailford.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.ConfigurationRecord;
import org.foxtailford.schema.ConfigurationVersion;
import org.foxtailford.schema.LabelledVm;
import org.foxtailford.schema.VmList;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ActiveConfigurationTests {

  private List<Long> published;
  private ActiveConfiguration active;

  @BeforeMethod
  public void create() {
    published = new ArrayList<>();
    active = new ActiveConfiguration(view -> published.add(view.version()));
  }

  @Test
  public void nothingIsPublishedBeforeTheVmListIsKnown() {
    assertThat(active.offer(version(3, "a"))).isTrue();
    assertThat(published).isEmpty();
    active.updateVms(VmList.getDefaultInstance());
    assertThat(published).containsExactly(3L);
  }

  @Test
  public void olderVersionIsIgnored() {
    active.updateVms(VmList.getDefaultInstance());
    active.offer(version(3, "a"));
    assertThat(active.offer(version(2, "b"))).isFalse();
    assertThat(published).containsExactly(3L);
  }

  @Test
  public void versionOfNewerSchemaLeavesTheLastUsableOneActive() {
    active.updateVms(VmList.getDefaultInstance());
    active.offer(version(3, "a"));
    ConfigurationVersion newer = version(4, "b");
    ConfigurationRecord record =
        newer.getRecord().toBuilder().setSchema(ConfigurationRecords.SCHEMA_VERSION + 1).build();
    assertThat(active.offer(newer.toBuilder().setRecord(record).build())).isFalse();
    assertThat(active.version()).isEqualTo(3);
    assertThat(active.unreadableVersion()).hasValue(4);
    assertThat(active.unreadableReason().orElseThrow()).contains("schema 2");
    active.offer(version(5, "c"));
    assertThat(active.unreadableVersion()).isEmpty();
  }

  @Test
  public void unusableDocumentLeavesTheLastUsableOneActive() {
    active.updateVms(VmList.getDefaultInstance());
    active.offer(version(3, "a"));
    assertThat(active.offer(version(4, "a", "a"))).isFalse();
    assertThat(active.version()).isEqualTo(3);
    assertThat(active.unreadableVersion()).hasValue(4);
  }

  @Test
  public void deltaBasedOnAnotherVersionIsIgnored() {
    active.offer(version(3, "a"));
    var delta = ConfigurationDeltas.between(version(2, "z"), version(4, "z", "y"));
    assertThat(active.offer(delta)).isFalse();
    assertThat(active.version()).isEqualTo(3);
  }

  private static ConfigurationVersion version(long number, String... vms) {
    ConfigurationDocument.Builder document = ConfigurationDocument.newBuilder();
    for (String vm : vms) {
      document.addVms(LabelledVm.newBuilder().setName(vm));
    }
    return ConfigurationVersion.newBuilder()
        .setVersion(number)
        .setRecord(
            ConfigurationRecord.newBuilder()
                .setSchema(ConfigurationRecords.SCHEMA_VERSION)
                .setDocument(document))
        .build();
  }
}
