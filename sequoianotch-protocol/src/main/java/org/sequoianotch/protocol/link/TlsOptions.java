package org.sequoianotch.protocol.link;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.nio.file.Path;
import java.util.Objects;
import javax.net.ssl.SSLException;

/**
 * PEM files for links over TLS. Both sides present a certificate, and each must chain to one in the trust file. Host
 * names are not checked, because peers are addressed by IP number and prove their identity in the handshake.
 *
 * <p>This type is immutable.
 *
 * @param certificate file with this node's certificate chain; not null
 * @param key file with this node's private key in PKCS #8 without a password; not null
 * @param trust file with the certificates that peers must chain to; not null
 */
public record TlsOptions(Path certificate, Path key, Path trust) {
    /** Checks the components. */
    public TlsOptions {
        Objects.requireNonNull(certificate, "certificate");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(trust, "trust");
    }

    SslContext connecting() {
        try {
            return SslContextBuilder.forClient()
                    .sslProvider(SslProvider.JDK)
                    .keyManager(certificate.toFile(), key.toFile())
                    .trustManager(trust.toFile())
                    .endpointIdentificationAlgorithm(null)
                    .build();
        } catch (SSLException | RuntimeException e) {
            throw unusable(e);
        }
    }

    SslContext accepting() {
        try {
            return SslContextBuilder.forServer(certificate.toFile(), key.toFile())
                    .sslProvider(SslProvider.JDK)
                    .trustManager(trust.toFile())
                    .clientAuth(ClientAuth.REQUIRE)
                    .build();
        } catch (SSLException | RuntimeException e) {
            throw unusable(e);
        }
    }

    private IllegalArgumentException unusable(Exception e) {
        return new IllegalArgumentException(
                "TLS files " + certificate + ", " + key + " and " + trust + " cannot be used: " + e.getMessage(), e);
    }
}
