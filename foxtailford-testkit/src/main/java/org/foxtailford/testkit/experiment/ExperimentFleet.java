package org.foxtailford.testkit.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.foxtailford.core.settings.SettingsDefaults;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.DaemonSettings;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.ExperimentDataCentre;
import org.foxtailford.schema.ExperimentService;
import org.foxtailford.schema.ExperimentSettings;
import org.foxtailford.schema.LabelledDataCentre;
import org.foxtailford.schema.LabelledVm;
import org.foxtailford.schema.OwnershipSettings;
import org.foxtailford.schema.PlatformSettings;
import org.foxtailford.schema.RequestKind;
import org.foxtailford.schema.RequestSettings;
import org.foxtailford.schema.ServiceDefinition;
import org.foxtailford.schema.StandInEntryVm;
import org.foxtailford.schema.StandInSettings;
import org.foxtailford.schema.StandInUpstream;
import org.foxtailford.schema.TlsSettings;

/** Settings of every process of an experiment, on consecutive loopback ports. Immutable. */
public final class ExperimentFleet {

  private static final String LOOPBACK = "127.0.0.1";
  private static final String SYSTEM_ID = "experiment";
  private static final String SERVICE_LABEL = "service";

  private final ExperimentSettings settings;
  private final StandInSettings standIns;
  private final List<DaemonSettings> entryVms = new ArrayList<>();
  private int nextPort;

  /** Assigns names, data centres and ports. */
  public ExperimentFleet(ExperimentSettings settings) {
    this.settings = Assert.notNull(settings, "settings");
    nextPort = settings.getFirstPort();
    StandInSettings.Builder world =
        StandInSettings.newBuilder().setPlatform(endpoint()).setAdmin(endpoint());
    for (ExperimentDataCentre dataCentre : settings.getDataCentresList()) {
      for (int i = 1; i <= dataCentre.getEntryVms(); i++) {
        DaemonSettings vm = daemon("entry-" + dataCentre.getName() + "-" + i, dataCentre, world);
        entryVms.add(vm);
        world.addEntryVms(listed(vm));
      }
    }
    settings.getServicesList().forEach(service -> addUpstreams(service, world));
    standIns = world.build();
  }

  private Endpoint endpoint() {
    return Endpoint.newBuilder().setHost(LOOPBACK).setPort(nextPort++).build();
  }

  private DaemonSettings daemon(
      String name, ExperimentDataCentre dataCentre, StandInSettings.Builder world) {
    return DaemonSettings.newBuilder()
        .setSystemId(SYSTEM_ID)
        .setVm(name)
        .setDataCentre(dataCentre.getName())
        .setCallerListener(endpoint())
        .setPeerListener(endpoint())
        .setOperatorListener(endpoint())
        .setPlatform(
            SettingsDefaults.applyAll(PlatformSettings.newBuilder())
                .setAddress(world.getPlatform()))
        .setOwnership(SettingsDefaults.applyAll(OwnershipSettings.newBuilder()))
        .setRequests(SettingsDefaults.applyAll(RequestSettings.newBuilder()))
        .setTls(SettingsDefaults.applyAll(TlsSettings.newBuilder()))
        .build();
  }

  private static StandInEntryVm listed(DaemonSettings vm) {
    return StandInEntryVm.newBuilder()
        .setName(vm.getVm())
        .setDataCentre(vm.getDataCentre())
        .setAddress(vm.getPeerListener())
        .build();
  }

  private void addUpstreams(ExperimentService service, StandInSettings.Builder world) {
    for (int i = 0; i < service.getUpstreams(); i++) {
      int dataCentre = i % settings.getDataCentresCount();
      world.addUpstreams(
          StandInUpstream.newBuilder()
              .setName(service.getName() + "-" + (i + 1))
              .setDataCentre(settings.getDataCentres(dataCentre).getName())
              .setAddress(endpoint())
              .setSlots(service.getSlots())
              .setColdSlots(service.getColdSlots())
              .setColdMs(service.getColdMs())
              .setServiceTimeMs(service.getServiceTimeMs()));
    }
  }

  public StandInSettings standIns() {
    return standIns;
  }

  public List<DaemonSettings> entryVms() {
    return List.copyOf(entryVms);
  }

  /** Returns the names of the upstreams in a data centre. */
  public Set<String> upstreamsIn(String dataCentre) {
    return standIns.getUpstreamsList().stream()
        .filter(upstream -> upstream.getDataCentre().equals(dataCentre))
        .map(StandInUpstream::getName)
        .collect(Collectors.toSet());
  }

  /** Returns the configuration in which some data centres are out. */
  public ConfigurationDocument configuration(Set<String> out) {
    ConfigurationDocument.Builder document = ConfigurationDocument.newBuilder();
    for (ExperimentService service : settings.getServicesList()) {
      document.addServices(definition(service));
      for (int i = 1; i <= service.getUpstreams(); i++) {
        document.addVms(
            LabelledVm.newBuilder()
                .setName(service.getName() + "-" + i)
                .putLabels(SERVICE_LABEL, service.getName()));
      }
    }
    out.stream()
        .sorted()
        .map(name -> LabelledDataCentre.newBuilder().setName(name).setOut(true))
        .forEach(document::addDataCentres);
    return document.build();
  }

  private static ServiceDefinition definition(ExperimentService service) {
    ServiceDefinition.Builder definition =
        SettingsDefaults.applyAll(ServiceDefinition.newBuilder())
            .setName(service.getName())
            .setKeyed(service.getKeys() > 0)
            .setSelector(SERVICE_LABEL + "=" + service.getName())
            .setUpstreamsCheckFences(true)
            .setSlotsPerUpstream(service.getSlots())
            .setConnectionsPerUpstream(service.getConnections());
    service
        .getLoadList()
        .forEach(
            load ->
                definition.addKinds(
                    RequestKind.newBuilder()
                        .setName(load.getKind())
                        .setIdempotent(load.getIdempotent())
                        .setWorth(load.getWorth())));
    return definition.build();
  }
}
