package org.foxtailford.testkit.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import org.foxtailford.core.util.Assert;

/** A process that can be paused, lost and started again. What arrives during a pause waits. */
abstract class SimulatedNode {

  private final String name;
  private final Deque<Runnable> waiting = new ArrayDeque<>();
  private boolean paused;
  private boolean running = true;
  private int starts;

  SimulatedNode(String name) {
    this.name = Assert.hasLength(name, "name");
  }

  final String name() {
    return name;
  }

  final boolean running() {
    return running;
  }

  /** Returns the number of earlier starts; work of an earlier start is never run. */
  final int starts() {
    return starts;
  }

  /** Runs a step of the process now, after its pause, or never if the process is lost. */
  final void execute(Runnable step) {
    if (!running) {
      return;
    }
    if (paused) {
      waiting.add(step);
    } else {
      step.run();
    }
  }

  final void pause() {
    paused = true;
  }

  final void resume() {
    paused = false;
    while (!paused && !waiting.isEmpty()) {
      waiting.remove().run();
    }
  }

  final void lose() {
    running = false;
    waiting.clear();
    onLost();
  }

  final void start() {
    running = true;
    paused = false;
    starts++;
    onStarted();
  }

  abstract void onLost();

  abstract void onStarted();
}
