import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Runs a case: starts a deployment, judges it, and turns the verdict into an exit status. */
abstract class Case {

  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  /** Whether the disruption takes place; not with TROUBLE=0. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  Record record;

  /** Adds instances and entry VMs, and returns the config. */
  abstract String prepare(Deployment deployment) throws IOException;

  /** Plays the case and returns whether the rule was broken. */
  abstract boolean play(Deployment deployment) throws Exception;

  static void run(Case judged, String[] arguments) {
    System.exit(judged.run(Path.of(arguments[0]), Path.of(arguments[1])));
  }

  private int run(Path root, Path caseFolder) {
    Path scratch = null;
    try (Record opened = new Record(caseFolder.resolve("record.txt"))) {
      record = opened;
      scratch = Files.createTempDirectory("foxtailford-review");
      int status;
      try (Deployment deployment = new Deployment(root, scratch, record)) {
        deployment.start(prepare(deployment));
        boolean broken = play(deployment);
        record.say(broken ? "the rule was broken" : "the rule held");
        status = broken ? BROKEN : HELD;
      } catch (Exception e) {
        record.say("the case could not run: %s", e);
        e.printStackTrace();
        status = NOT_RUN;
      }
      String kept = System.getenv("KEEP_LOGS"); // a folder that takes the logs of the entry VMs
      if (kept != null) {
        copy(scratch, Path.of(kept));
      }
      return status;
    } catch (IOException e) {
      e.printStackTrace();
      return NOT_RUN;
    } finally {
      delete(scratch);
    }
  }

  private static void copy(Path from, Path to) throws IOException {
    Files.createDirectories(to);
    try (Stream<Path> files = Files.list(from)) {
      for (Path file : (Iterable<Path>) files::iterator) {
        Files.copy(file, to.resolve(file.getFileName()),
            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      }
    }
  }

  private static void delete(Path folder) {
    if (folder == null) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      System.err.println("temporary folder not removed: " + e.getMessage());
    }
  }
}
