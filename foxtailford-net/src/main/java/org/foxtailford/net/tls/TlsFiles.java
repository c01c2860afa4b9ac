package org.foxtailford.net.tls;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.foxtailford.schema.TlsSettings;

/**
 * PEM files of one process.
 *
 * @param certificate its certificate chain
 * @param key its private key
 * @param trust authorities whose certificates are accepted
 */
public record TlsFiles(Path certificate, Path key, Path trust) {

  /** Returns the files that the settings name. */
  public static TlsFiles of(TlsSettings settings) {
    return new TlsFiles(
        Path.of(settings.getCertificateFile()),
        Path.of(settings.getKeyFile()),
        Path.of(settings.getTrustFile()));
  }

  /** Reads the files as they are now. */
  Contents read() throws IOException {
    return new Contents(
        Files.readString(certificate), Files.readString(key), Files.readString(trust));
  }

  /** Text of the files, read at one time. */
  record Contents(String certificate, String key, String trust) {}
}
