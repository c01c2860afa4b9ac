package org.foxtailford.entry;

import java.nio.file.Path;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** Options of the {@code foxtailford-entry} command. */
final class EntryOptions {

  @Option(name = "--settings", metaVar = "FILE", usage = "settings of the entry VM")
  private @Nullable Path settings;

  @Option(name = "--check", usage = "only check the settings")
  private boolean check;

  @Option(
      name = "--rehearse",
      metaVar = "FILE",
      usage = "run for a moment against answers from a file, for an archive of classes")
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
