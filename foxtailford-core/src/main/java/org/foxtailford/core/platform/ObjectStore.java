package org.foxtailford.core.platform;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Store of named objects in which the last write wins. */
public interface ObjectStore {

  /** Reads an object; empty if it does not exist. */
  CompletableFuture<Optional<ByteString>> get(String name);

  /** Writes an object, replacing an existing one of that name. */
  CompletableFuture<Void> put(String name, ByteString content);
}
