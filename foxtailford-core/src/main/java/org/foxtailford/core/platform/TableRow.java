package org.foxtailford.core.platform;

import com.google.protobuf.ByteString;

/**
 * A version of a row of the table service.
 *
 * @param key name of the row
 * @param version version that the table assigned to this content, greater than zero
 * @param value content
 */
public record TableRow(String key, long version, ByteString value) {}
