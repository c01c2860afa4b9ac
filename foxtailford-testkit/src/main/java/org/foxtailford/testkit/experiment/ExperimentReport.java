package org.foxtailford.testkit.experiment;

import java.util.List;

/**
 * What an experiment found.
 *
 * @param title what it shows
 * @param services figures by service and phase
 * @param retries retries by phase
 * @param work when data centres stopped and began to answer
 */
public record ExperimentReport(
    String title,
    List<ServiceFigures> services,
    List<PhaseRetries> retries,
    List<DataCentreWork> work) {}
