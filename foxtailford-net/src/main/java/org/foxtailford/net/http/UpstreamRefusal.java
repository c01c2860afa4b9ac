package org.foxtailford.net.http;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import org.foxtailford.core.result.ResultCode;

/** Reasons, sent in {@link FoxtailHeaders#REFUSED}, why an upstream did not run a request. */
public enum UpstreamRefusal {
  NOT_OWNER(ResultCode.OWNERSHIP_CHANGED),
  SHEDDING(ResultCode.UPSTREAM_SHED),
  NO_SLOT(ResultCode.UPSTREAM_SHED),
  DRAINING(ResultCode.NO_UPSTREAM),
  COLD(ResultCode.UPSTREAM_COLD),
  EXPIRED(ResultCode.DEADLINE_EXPIRED);

  private final ResultCode code;

  UpstreamRefusal(ResultCode code) {
    this.code = code;
  }

  /** Returns the result code that the caller gets. */
  public ResultCode code() {
    return code;
  }

  /** Returns the value of the header field: the name in lower case, with hyphens. */
  public String headerValue() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the reason that an answer states; empty if it states none or an unknown one. */
  public static Optional<UpstreamRefusal> of(HttpAnswer answer) {
    String value = answer.headers().get(FoxtailHeaders.REFUSED);
    return Arrays.stream(values()).filter(r -> r.headerValue().equals(value)).findFirst();
  }
}
