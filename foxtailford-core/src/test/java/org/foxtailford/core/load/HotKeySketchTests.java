package org.foxtailford.core.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.foxtailford.core.slice.KeyLoad;
import org.testng.annotations.Test;

public class HotKeySketchTests {

  private static final long WINDOW_MS = 1000;

  @Test
  public void findsHotKeysAmongOneMillionOtherKeys() {
    HotKeySketch sketch = new HotKeySketch(WINDOW_MS, 0);
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < 1_000_000; i++) {
      sketch.record(random.nextLong(), 1, 0);
      if (i % 100 == 0) {
        sketch.record(i / 100 % 5, 1, 0);
      }
    }
    List<KeyLoad> hottest = sketch.hottest(5, WINDOW_MS);
    assertThat(hottest).extracting(KeyLoad::keyHash).containsExactlyInAnyOrder(0L, 1L, 2L, 3L, 4L);
    assertThat(hottest).allMatch(key -> key.rate() <= 2000 && key.rate() > 1000);
  }

  @Test
  public void dropsKeyWithoutRecentRequests() {
    HotKeySketch sketch = new HotKeySketch(WINDOW_MS, 0);
    sketch.record(7, 500, 0);
    assertThat(sketch.hottest(1, WINDOW_MS)).containsExactly(new KeyLoad(7, 500));
    sketch.record(8, 10, WINDOW_MS);
    assertThat(sketch.hottest(1, 2 * WINDOW_MS)).containsExactly(new KeyLoad(8, 10));
    assertThat(sketch.hottest(1, 4 * WINDOW_MS)).isEmpty();
  }
}
