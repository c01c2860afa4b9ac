package org.foxtailford.testkit.published;

/** How the stand-in of an upstream treats requests. */
public enum UpstreamBehaviour {
  /** Answers in order. */
  NORMAL,
  /** Refuses each request, and says that it did not run it. */
  FULL,
  /** Runs requests and never answers. */
  SILENT,
  /** Answers with success, but without its seal. */
  UNSIGNED,
  /** Answers with the id of another request. */
  WRONG_REQUEST_ID,
  /** Runs requests and answers with a failure. */
  FAILING
}
