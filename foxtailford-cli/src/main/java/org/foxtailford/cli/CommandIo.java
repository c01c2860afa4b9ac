package org.foxtailford.cli;

import java.io.PrintStream;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * What a command works with besides its options.
 *
 * @param out for results
 * @param err for errors and progress
 * @param environment variables of the environment
 * @param writeIds gives an id for each change
 * @param epochMs time of day, in milliseconds since 1970
 * @param pause waits between looks at a state that is awaited
 */
record CommandIo(
    PrintStream out,
    PrintStream err,
    Map<String, String> environment,
    LongSupplier writeIds,
    LongSupplier epochMs,
    Runnable pause) {}
