package org.foxtailford.net.tls;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.foxtailford.schema.TlsSettings;

/**
 * Paths of the PEM files that a process uses for TLS.
 *
 * @param certificate certificate chain of the process
 * @param key private key of the process
 * @param trust certificates of the accepted authorities
 */
public record TlsFiles(Path certificate, Path key, Path trust) {

  /** Returns the files that the settings specify. */
  public static TlsFiles of(TlsSettings settings) {
    return new TlsFiles(
        Path.of(settings.getCertificateFile()),
        Path.of(settings.getKeyFile()),
        Path.of(settings.getTrustFile()));
  }

  /** Reads the current contents of the files. */
  Contents read() throws IOException {
    return new Contents(
        Files.readString(certificate), Files.readString(key), Files.readString(trust));
  }

  /** Contents of the files in PEM format. */
  record Contents(String certificate, String key, String trust) {}
}
