package org.foxtailford.daemon;

import java.nio.file.Path;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** Command-line options of {@code foxtaild}. */
final class FoxtaildOptions {

  @Option(name = "--settings", metaVar = "FILE", usage = "settings file, JSON with comments")
  private @Nullable Path settings;

  @Option(name = "--check", usage = "check the settings and exit")
  private boolean check;

  @Option(name = "--help", aliases = "-h", help = true, usage = "show this help and exit")
  private boolean help;

  @Option(name = "--version", help = true, usage = "show the version and exit")
  private boolean version;

  Optional<Path> settings() {
    return Optional.ofNullable(settings);
  }

  boolean check() {
    return check;
  }

  boolean help() {
    return help;
  }

  boolean version() {
    return version;
  }
}
