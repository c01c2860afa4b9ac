package org.foxtailford.core.configuration;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.selector.LabelSelector;
import org.foxtailford.core.settings.InvalidSettingsException;
import org.foxtailford.core.settings.ParsedDocument;
import org.foxtailford.core.settings.SettingsReader;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.LabelledDataCentre;
import org.foxtailford.schema.LabelledVm;
import org.foxtailford.schema.RequestKind;
import org.foxtailford.schema.ServiceDefinition;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;

/**
 * Validates a configuration document and reports all findings at once.
 *
 * <p>Checks that depend on the VM list (selectors that match no upstream, unknown names) run only
 * if the list contains upstreams. Thread-safe: holds no state between checks.
 */
public final class ConfigurationChecker {

  /** Maximum size of a document, in bytes of UTF-8. */
  public static final int MAX_DOCUMENT_BYTES = 2 << 20;

  private static final String FORCE_HINT = "change the document, or force it if this is intended";

  private final SettingsReader<ConfigurationDocument> reader =
      new SettingsReader<>(ConfigurationDocument::newBuilder, ResultCode.INVALID_CONFIGURATION);

  /**
   * Checks a document and returns all findings.
   *
   * @param text document as JSON; comments are allowed
   * @param vms VM list; empty if it is not known
   */
  public ConfigurationReport check(String text, Optional<VmList> vms) {
    Assert.notNull(text, "text");
    Assert.notNull(vms, "vms");
    int bytes = text.getBytes(StandardCharsets.UTF_8).length;
    if (bytes > MAX_DOCUMENT_BYTES) {
      return rejected(
          List.of(
              new ConfigurationFinding(
                  FindingSeverity.ERROR,
                  "$",
                  1,
                  "has " + bytes + " bytes, limit is " + MAX_DOCUMENT_BYTES,
                  "remove labels that no selector uses")));
    }
    try {
      return new SemanticCheck(reader.readWithLines(text)).run(vms);
    } catch (InvalidSettingsException e) {
      return rejected(e.faults().stream().map(ConfigurationFinding::of).toList());
    }
  }

  private static ConfigurationReport rejected(List<ConfigurationFinding> findings) {
    return new ConfigurationReport(Optional.empty(), findings);
  }

  /** Semantic checks of a document that matches the schema. */
  private static final class SemanticCheck {

    private final ParsedDocument<ConfigurationDocument> read;
    private final ConfigurationDocument document;
    private final List<ConfigurationFinding> findings = new ArrayList<>();

    SemanticCheck(ParsedDocument<ConfigurationDocument> read) {
      this.read = read;
      this.document = read.message();
    }

    ConfigurationReport run(Optional<VmList> vms) {
      checkNames("$.services", document.getServicesList(), ServiceDefinition::getName);
      checkNames("$.vms", document.getVmsList(), LabelledVm::getName);
      checkNames("$.dataCentres", document.getDataCentresList(), LabelledDataCentre::getName);
      for (int i = 0; i < document.getServicesCount(); i++) {
        checkService("$.services[" + i + "]", document.getServices(i));
      }
      boolean valid = findings.isEmpty();
      if (valid) {
        checkAgainstVmList(vms);
      }
      return new ConfigurationReport(
          Optional.of(ConfigurationDocuments.canonicalize(document)), findings);
    }

    private <T> void checkNames(String path, List<T> items, Function<T, String> nameOf) {
      Set<String> uniqueNames = new HashSet<>();
      for (int i = 0; i < items.size(); i++) {
        String name = nameOf.apply(items.get(i));
        if (!uniqueNames.add(name)) {
          error(
              path + "[" + i + "].name",
              "\"" + name + "\" occurs more than once",
              "remove the duplicate");
        }
      }
    }

    private void checkService(String path, ServiceDefinition service) {
      checkNames(path + ".kinds", service.getKindsList(), RequestKind::getName);
      if (service.getKindsCount() == 0) {
        error(path + ".kinds", "defines no kind of request", "add at least one kind");
      }
      if (service.getKeyed() && !service.getUpstreamsCheckFences()) {
        error(
            path + ".upstreamsCheckFences",
            "exclusive ownership of keys requires upstreams that check fences",
            "set it to true if the upstreams check fences; otherwise remove keyed");
      }
      if (service.getColdSlots() > service.getSlotsPerUpstream()) {
        error(
            path + ".coldSlots",
            "a cold upstream would run more requests at once than a warm one",
            "set it to at most slotsPerUpstream, which is " + service.getSlotsPerUpstream());
      }
      try {
        LabelSelector.parse(service.getSelector());
      } catch (IllegalArgumentException e) {
        error(
            path + ".selector",
            String.valueOf(e.getMessage()),
            "terms are name, !name, name=value, name!=value, name in (v,...), name notin (v,...)");
      }
    }

    private void checkAgainstVmList(Optional<VmList> vms) {
      boolean hasUpstreams =
          vms.stream()
              .flatMap(list -> list.getVmsList().stream())
              .anyMatch(vm -> vm.getRole() == VmRole.VM_ROLE_UPSTREAM);
      if (!hasUpstreams) {
        warn(
            "$",
            "the VM list is unknown or has no upstreams, so selectors were not checked",
            "check again later");
        return;
      }
      ConfigurationView view = ConfigurationView.of(1, document, vms.get());
      checkVmNames(vms.get());
      for (int i = 0; i < document.getServicesCount(); i++) {
        checkUpstreams("$.services[" + i + "].selector", document.getServices(i), view);
      }
      if (view.upstreams().stream().noneMatch(Upstream::available)) {
        refuseUnlessForced("$", "no upstream of the system would be available");
      }
    }

    private void checkVmNames(VmList vms) {
      Set<String> names = new HashSet<>();
      Set<String> dataCentres = new HashSet<>();
      vms.getVmsList().forEach(vm -> names.add(vm.getName()));
      vms.getVmsList().forEach(vm -> dataCentres.add(vm.getDataCentre()));
      String hint = "correct the name; if the VM list contains it later, it is used from then on";
      for (int i = 0; i < document.getVmsCount(); i++) {
        if (!names.contains(document.getVms(i).getName())) {
          warn("$.vms[" + i + "].name", "the VM list has no such VM", hint);
        }
      }
      for (int i = 0; i < document.getDataCentresCount(); i++) {
        if (!dataCentres.contains(document.getDataCentres(i).getName())) {
          warn("$.dataCentres[" + i + "].name", "no VM is in this data centre", hint);
        }
      }
    }

    private void checkUpstreams(String path, ServiceDefinition service, ConfigurationView view) {
      Set<String> labels = new TreeSet<>();
      view.upstreams().forEach(upstream -> labels.addAll(upstream.labels().keySet()));
      for (String label : LabelSelector.parse(service.getSelector()).labelNames()) {
        if (!labels.contains(label)) {
          warn(path, "no upstream has a label \"" + label + "\"", "known labels are " + labels);
        }
      }
      List<Upstream> matchingUpstreams =
          view.findService(service.getName()).orElseThrow().upstreams();
      if (matchingUpstreams.isEmpty()) {
        refuseUnlessForced(
            path, "leaves service \"" + service.getName() + "\" without an upstream");
      } else if (matchingUpstreams.stream().noneMatch(Upstream::available)) {
        refuseUnlessForced(
            path, "every upstream of \"" + service.getName() + "\" is draining or out");
      }
    }

    private void error(String path, String message, String hint) {
      add(FindingSeverity.ERROR, path, message, hint);
    }

    private void refuseUnlessForced(String path, String message) {
      add(FindingSeverity.REFUSED_UNLESS_FORCED, path, message, FORCE_HINT);
    }

    private void warn(String path, String message, String hint) {
      add(FindingSeverity.WARNING, path, message, hint);
    }

    private void add(FindingSeverity severity, String path, String message, String hint) {
      findings.add(new ConfigurationFinding(severity, path, read.lineOf(path), message, hint));
    }
  }
}
