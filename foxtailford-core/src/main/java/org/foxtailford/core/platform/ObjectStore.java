package org.foxtailford.core.platform;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Objects by name; the last write wins. */
public interface ObjectStore {

  /** Reads an object; empty if it does not exist. */
  CompletableFuture<Optional<ByteString>> get(String name);

  /** Writes an object. */
  CompletableFuture<Void> put(String name, ByteString content);
}
