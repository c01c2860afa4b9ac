package org.foxtailford.testkit.published;

/** Ways in which the stand-in for an upstream handles requests. */
public enum UpstreamBehaviour {
  /** Runs requests and answers them correctly. */
  NORMAL,
  /** Rejects each request and states that it did not run it. */
  FULL,
  /** Rejects each request, states that it did not run it and asks for a pause of 0.75 seconds. */
  PAUSING,
  /** Runs requests and states in each answer that it is leaving. */
  LEAVING,
  /** Rejects each request by closing its connections. */
  RESETTING,
  /** Runs requests and never answers. */
  SILENT,
  /** Answers with success, but without the response signature. */
  UNSIGNED,
  /** Answers with the id of another request. */
  WRONG_REQUEST_ID,
  /** Runs requests and answers with status 500. */
  FAILING
}
