package org.foxtailford.entry.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.StoreVersion;
import org.foxtailford.core.store.UnreadableRowException;
import org.foxtailford.schema.entry.StoredRow;
import org.testng.annotations.Test;

public class RowPackerTests {

  private static final byte[] ROUTES =
      "[\"route\",\"host.example\",\"/path/\",\"safe\",\"1500ms\",2]"
          .repeat(1000)
          .getBytes(StandardCharsets.UTF_8);

  private final RowPacker packer = new RowPacker();

  @Test
  public void largeConfigurationIsCompressedToLessThanAnEighth() {
    StoredRow message = packer.pack("op", new Row("config", ROUTES, new StoreVersion(2, 7), false));
    assertThat(message.getSerializedSize()).isLessThan(ROUTES.length / 8);
    Row read = RowPacker.unpack(message, 2);
    assertThat(read.value()).isEqualTo(ROUTES);
    assertThat(read.version()).isEqualTo(new StoreVersion(2, 7));
  }

  @Test
  public void newVersionOfARowIsCompressedAnew() {
    packer.pack("op", new Row("config", ROUTES, new StoreVersion(2, 7), false));
    byte[] changed = ROUTES.clone();
    changed[0] = '{';
    StoredRow message =
        packer.pack("op", new Row("config", changed, new StoreVersion(2, 8), false));
    assertThat(RowPacker.unpack(message, 2).value()).isEqualTo(changed);
  }

  @Test
  public void smallRowsAndRemovalsAreNotCompressed() {
    StoredRow small =
        packer.pack("op", new Row("small", new byte[] {1, 2}, new StoreVersion(2, 3), false));
    assertThat(small.getInflatedBytes()).isZero();
    assertThat(RowPacker.unpack(small, 2).value()).containsExactly(1, 2);
    assertThat(
            RowPacker.unpack(
                    packer.pack("op", new Row("x", new byte[0], new StoreVersion(2, 4), true)), 2)
                .deleted())
        .isTrue();
  }

  @Test
  public void truncatedOrOversizedValueIsRejected() {
    StoredRow message = packer.pack("op", new Row("config", ROUTES, new StoreVersion(2, 7), false));
    StoredRow truncated =
        message.toBuilder()
            .setValue(message.getValue().substring(0, message.getValue().size() / 2))
            .build();
    assertThatThrownBy(() -> RowPacker.unpack(truncated, 2))
        .isInstanceOf(UnreadableRowException.class);
    StoredRow oversized = message.toBuilder().setInflatedBytes(Integer.MAX_VALUE).build();
    assertThatThrownBy(() -> RowPacker.unpack(oversized, 2))
        .isInstanceOf(UnreadableRowException.class);
  }
}
