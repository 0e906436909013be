package org.sequoianotch.protocol.link;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.nio.file.Path;
import java.util.Objects;
import javax.net.ssl.SSLException;

/**
 * PEM files for links over TLS.
 *
 * <p>Both sides present a certificate, which must chain to a certificate in the trust file. Host names are not
 * verified, because peers are addressed by IP address and prove their identity in the handshake.
 *
 * <p>This type is immutable.
 *
 * @param certificate file with the certificate chain of this node; not null
 * @param key file with the private key of this node, in PKCS #8 without a password; not null
 * @param trust file with the trusted certificates; not null
 */
public record TlsOptions(Path certificate, Path key, Path trust) {
    /** Checks that no component is null. */
    public TlsOptions {
        Objects.requireNonNull(certificate, "certificate");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(trust, "trust");
    }

    SslContext clientContext() {
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

    SslContext serverContext() {
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
