package org.foxtailford.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.ConfigurationRecord;
import org.foxtailford.schema.ConfigurationVersion;
import org.foxtailford.schema.LabelledDataCentre;
import org.foxtailford.schema.LabelledVm;

class ConfigurationDeltaProperties {

  @Property(seed = "1", tries = 500)
  void applyingADeltaYieldsItsTargetVersion(
      @ForAll @Size(max = 8) Map<@IntRange(max = 9) Integer, @IntRange(max = 2) Integer> oldItems,
      @ForAll @Size(max = 8) Map<@IntRange(max = 9) Integer, @IntRange(max = 2) Integer> newItems) {
    ConfigurationVersion from = version(1, oldItems);
    ConfigurationVersion to = version(2, newItems);
    assertThat(ConfigurationDeltas.apply(from, ConfigurationDeltas.between(from, to)))
        .isEqualTo(to);
  }

  @Property(seed = "1", tries = 500)
  void differenceIsEmptyIfAndOnlyIfDocumentsAreEqual(
      @ForAll @Size(max = 4) Map<@IntRange(max = 4) Integer, @IntRange(max = 1) Integer> oldItems,
      @ForAll @Size(max = 4) Map<@IntRange(max = 4) Integer, @IntRange(max = 1) Integer> newItems) {
    ConfigurationDocument from = version(1, oldItems).getRecord().getDocument();
    ConfigurationDocument to = version(1, newItems).getRecord().getDocument();
    assertThat(ConfigurationDifference.between(from, to).changes().isEmpty())
        .isEqualTo(from.equals(to));
  }

  private static ConfigurationVersion version(long number, Map<Integer, Integer> items) {
    ConfigurationDocument.Builder document = ConfigurationDocument.newBuilder();
    items.forEach(
        (name, value) -> {
          document.addVms(
              LabelledVm.newBuilder()
                  .setName("vm" + name)
                  .setDraining(value == 1)
                  .putLabels("tier", "t" + value));
          document.addDataCentres(
              LabelledDataCentre.newBuilder().setName("dc" + name).setOut(value == 2));
        });
    return ConfigurationVersion.newBuilder()
        .setVersion(number)
        .setRecord(
            ConfigurationRecord.newBuilder()
                .setDocument(ConfigurationDocuments.canonicalize(document.build())))
        .build();
  }
}
