package org.foxtailford.net.http;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import org.foxtailford.core.result.ResultCode;

/** Reasons that upstreams give in {@link FoxtailHeaders#REFUSED} for not running a request. */
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

  /** Returns the result code for the caller. */
  public ResultCode code() {
    return code;
  }

  /** Returns the value of the header field. */
  public String headerValue() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the reason of an answer; empty if the upstream ran the request. */
  public static Optional<UpstreamRefusal> of(HttpAnswer answer) {
    String value = answer.headers().get(FoxtailHeaders.REFUSED);
    return Arrays.stream(values()).filter(r -> r.headerValue().equals(value)).findFirst();
  }
}
