package org.foxtailford.testkit.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.settings.SettingsReader;
import org.foxtailford.schema.StandInSettings;

/** Runs a {@link StandInWorld} from a settings file until the process ends. */
public final class StandInCommand {

  private StandInCommand() {}

  /** Runs the command; the only argument is the settings file. */
  public static void main(String[] args) throws IOException {
    if (args.length != 1) {
      System.err.println("usage: standins FILE");
      System.exit(64);
    }
    SettingsReader<StandInSettings> reader =
        new SettingsReader<>(StandInSettings::newBuilder, ResultCode.INVALID_SETTINGS);
    StandInWorld world = new StandInWorld(reader.read(Files.readString(Path.of(args[0]))));
    Runtime.getRuntime().addShutdownHook(new Thread(world::close, "stop"));
  }
}
