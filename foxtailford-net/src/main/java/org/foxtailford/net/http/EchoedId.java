package org.foxtailford.net.http;

import org.foxtailford.core.util.Assert;

/**
 * Header field that has a value of its own in each request and is echoed in the answer, so that a
 * late second answer to an earlier request on the connection can be skipped.
 *
 * @param field name of the header field
 * @param required whether a connection is closed after an answer without the field, since a second
 *     answer to that request could not be told from the next one
 */
public record EchoedId(String field, boolean required) {

  /** Checks the name. */
  public EchoedId {
    Assert.hasLength(field, "field");
  }
}
