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
 * @param host this host; not null
 * @param dataCentre its data centre; not null
 * @param deploymentKey secret shared by all nodes; not null, not empty
 * @param heartbeatMs interval of heartbeats, in milliseconds; positive
 * @param silenceTimeoutMs a link on which nothing arrives for this long is closed, in milliseconds; longer than the
 *     heartbeat interval
 * @param connectTimeoutMs limit for connecting and again for the handshake, in milliseconds; positive
 * @param tlsOptions files for TLS, or null for links without TLS
 */
public record LinkOptions(
        HostId host,
        DataCentre dataCentre,
        String deploymentKey,
        long heartbeatMs,
        long silenceTimeoutMs,
        int connectTimeoutMs,
        @Nullable TlsOptions tlsOptions) {
    /** Checks the components. */
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
     * Returns the files for TLS.
     *
     * @return the files, or empty for links without TLS
     */
    public Optional<TlsOptions> tls() {
        return Optional.ofNullable(tlsOptions);
    }

    /** Leaves the deployment key out, so that it cannot reach a log. */
    @Override
    public String toString() {
        return "LinkOptions[host=" + host + ", dataCentre=" + dataCentre + ", heartbeatMs=" + heartbeatMs
                + ", silenceTimeoutMs=" + silenceTimeoutMs + ", connectTimeoutMs=" + connectTimeoutMs + ", tls="
                + (tlsOptions != null) + "]";
    }
}
