package org.foxtailford.core.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;

/** A document that does not match its schema. */
public final class InvalidSettingsException extends ResultCodeException {

  private static final long serialVersionUID = 1L;

  private final transient List<SettingsFault> faults;

  public InvalidSettingsException(ResultCode code, List<SettingsFault> faults) {
    super(code, faults.stream().map(SettingsFault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  /** Returns every fault of the document. */
  public List<SettingsFault> faults() {
    return faults;
  }
}
