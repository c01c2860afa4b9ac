package org.foxtailford.benchmarks.requests;

/** Policies that are compared. */
enum PolicyKind {
  RANDOM("random"),
  ROUND_ROBIN("round robin"),
  LEAST_IN_FLIGHT("least in flight"),
  REQUEST_PATH("request path");

  private final String label;

  PolicyKind(String label) {
    this.label = label;
  }

  String label() {
    return label;
  }
}
