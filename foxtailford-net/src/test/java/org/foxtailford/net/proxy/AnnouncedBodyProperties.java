package org.foxtailford.net.proxy;

import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** A body that is not the announced one never ends, whichever of its parts is missing. */
class AnnouncedBodyProperties {

  /** Guards against a body that ends after one of its parts was dropped, or counts twice. */
  @Property(seed = "1", tries = 500)
  boolean bodyWithoutOneOfItsPartsNeverEnds(
      @ForAll @Size(min = 2, max = 9) List<@IntRange(min = 1, max = 9) Integer> sizes,
      @ForAll @IntRange(min = 0, max = 8) int chosen,
      @ForAll boolean repeated,
      @ForAll boolean stated) {
    List<BodyPart> parts = new ArrayList<>();
    long offset = 0;
    for (int size : sizes) {
      parts.add(
          new BodyPart(
              Unpooled.wrappedBuffer(new byte[size]), offset, parts.size() == sizes.size() - 1));
      offset += size;
    }
    if (repeated) {
      int place = chosen % (parts.size() - 1); // the last part may come twice: the body has ended
      parts.add(place, parts.get(place));
    } else {
      parts.remove(chosen % parts.size());
    }
    AnnouncedBody body = new AnnouncedBody(stated ? OptionalLong.of(offset) : OptionalLong.empty());
    return parts.stream().filter(body::tryAdd).noneMatch(BodyPart::last);
  }
}
