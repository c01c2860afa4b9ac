package org.foxtailford.net.tcp;

/** Observes the passes of an event loop, each of which waits for I/O and handles what there is. */
public interface PassListener {

  /** Observes nothing. */
  PassListener NONE =
      new PassListener() {
        @Override
        public void onPassBegin() {}

        @Override
        public void onPassEnd(boolean foundNothing) {}
      };

  /** Called before the loop waits for I/O. */
  void onPassBegin();

  /**
   * Called after the loop has handled its I/O, before it runs tasks.
   *
   * @param foundNothing whether there was none
   */
  void onPassEnd(boolean foundNothing);
}
