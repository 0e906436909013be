package org.sequoianotch.protocol.link;

import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;

/**
 * Options of the links of one node.
 *
 * <p>This type is immutable.
 *
 * @param host the host of this node; not null
 * @param dataCentre the data centre of the host; not null
 * @param deploymentKey secret shared by all nodes; not null, not empty
 * @param heartbeatMs heartbeat interval in milliseconds; positive
 * @param silenceTimeoutMs time without received bytes after which a link is closed, in milliseconds; greater than the
 *     heartbeat interval
 * @param connectTimeoutMs timeout for connecting, for the TLS handshake and for each frame of the handshake, in
 *     milliseconds; positive
 * @param tlsOptions TLS files, or null for links without TLS
 */
public record LinkOptions(
        HostId host,
        DataCentre dataCentre,
        String deploymentKey,
        long heartbeatMs,
        long silenceTimeoutMs,
        int connectTimeoutMs,
        @Nullable TlsOptions tlsOptions) {
    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the key is empty or a duration is out of range
     */
    public LinkOptions {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
        if (deploymentKey.isEmpty()) {
            throw new IllegalArgumentException("The deployment key must not be empty");
        }
        if (heartbeatMs <= 0 || silenceTimeoutMs <= heartbeatMs || connectTimeoutMs <= 0) {
            throw new IllegalArgumentException("heartbeatMs " + heartbeatMs + ", silenceTimeoutMs " + silenceTimeoutMs
                    + " or connectTimeoutMs " + connectTimeoutMs + " is out of range");
        }
    }

    /**
     * Returns the TLS files.
     *
     * @return the files, or empty for links without TLS
     */
    public Optional<TlsOptions> tls() {
        return Optional.ofNullable(tlsOptions);
    }

    /** Omits the deployment key, so that it does not get into logs. */
    @Override
    public String toString() {
        return "LinkOptions[host=" + host + ", dataCentre=" + dataCentre + ", heartbeatMs=" + heartbeatMs
                + ", silenceTimeoutMs=" + silenceTimeoutMs + ", connectTimeoutMs=" + connectTimeoutMs + ", tls="
                + (tlsOptions != null) + "]";
    }
}
