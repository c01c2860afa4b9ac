package org.foxtailford.entry;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Command-line options of {@code check-configuration}. */
final class ConfigurationCheckOptions {

  @Argument(
      metaVar = "FILE",
      usage = "configuration to check, as it is written to the store; default: standard input")
  private @Nullable String file;

  @Option(name = "--in-force", metaVar = "FILE", usage = "configuration in force to compare with")
  private @Nullable String inForce;

  @Option(name = "--json", usage = "print JSON instead of text")
  private boolean json;

  Optional<String> file() {
    return Optional.ofNullable(file);
  }

  Optional<String> inForce() {
    return Optional.ofNullable(inForce);
  }

  boolean json() {
    return json;
  }
}
