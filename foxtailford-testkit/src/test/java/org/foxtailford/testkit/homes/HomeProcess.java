package org.foxtailford.testkit.homes;

import java.util.ArrayDeque;
import java.util.Deque;

/** One life of a process: it can be paused, and lost for good. What arrives in a pause waits. */
final class HomeProcess {

  private final Deque<Runnable> waiting = new ArrayDeque<>();
  private boolean running = true;
  private boolean paused;

  /** Runs a step now, after the pause, or never if the process is lost. */
  void execute(Runnable step) {
    if (!running) {
      return;
    }
    if (paused) {
      waiting.add(step);
    } else {
      step.run();
    }
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    while (!paused && running && !waiting.isEmpty()) {
      waiting.remove().run();
    }
  }

  void lose() {
    running = false;
    waiting.clear();
  }

  boolean paused() {
    return paused;
  }

  boolean running() {
    return running;
  }
}
