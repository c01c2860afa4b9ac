package org.foxtailford.entry;

import java.nio.file.Path;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** Command-line options of {@code foxtailford-entry}. */
final class EntryOptions {

  @Option(name = "--settings", metaVar = "FILE", usage = "settings file of the entry VM")
  private @Nullable Path settings;

  @Option(name = "--check", usage = "validate the settings and exit")
  private boolean check;

  @Option(
      name = "--rehearse",
      metaVar = "FILE",
      usage = "run against scripted answers from a file, to create a class data archive")
  private @Nullable Path rehearsal;

  @Option(name = "--help", usage = "print this help")
  private boolean help;

  Optional<Path> settings() {
    return Optional.ofNullable(settings);
  }

  Optional<Path> rehearsal() {
    return Optional.ofNullable(rehearsal);
  }

  boolean check() {
    return check;
  }

  boolean help() {
    return help;
  }
}
