package org.foxtailford.testkit.simulation;

/** Faults that a schedule may hold. Each lasts for some time and then ends. */
enum FaultKind {
  CANDIDATE_PAUSED,
  CANDIDATE_LOST,
  UPSTREAM_PAUSED,
  UPSTREAM_LOST,
  UPSTREAM_RESTARTED,
  TABLE_DOWN,
  TABLE_ANSWERS_LOST,
  TABLE_SLOW,
  CANDIDATE_CUT_FROM_TABLE,
  CANDIDATE_CUT_FROM_UPSTREAM,
  UPSTREAM_ANSWERS_LOST,
  PARTITION,
  MESSAGES_DISTURBED
}
