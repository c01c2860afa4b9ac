package org.foxtailford.core.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;

/** Thrown for a document that violates its schema or another rule; lists every fault. */
public final class InvalidSettingsException extends ResultCodeException {

  private static final long serialVersionUID = 1L;

  private final transient List<SettingsFault> faults;

  public InvalidSettingsException(ResultCode code, List<SettingsFault> faults) {
    super(code, faults.stream().map(SettingsFault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  /** Returns all faults of the document. */
  public List<SettingsFault> faults() {
    return faults;
  }
}
