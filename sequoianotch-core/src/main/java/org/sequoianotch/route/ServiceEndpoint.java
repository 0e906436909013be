package org.sequoianotch.route;

import java.util.Objects;
import org.sequoianotch.model.ServiceName;

/**
 * What a route table says of the instances of a service.
 *
 * <p>This type is immutable.
 *
 * @param service the service; not null
 * @param healthPath path at which an instance tells its health; not null
 * @param maxConnections connections that an instance accepts from all callers together; positive
 */
public record ServiceEndpoint(ServiceName service, String healthPath, int maxConnections) {
    /** Checks the components. */
    public ServiceEndpoint {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(healthPath, "healthPath");
        if (maxConnections < 1) {
            throw new IllegalArgumentException(
                    "service " + service + " has " + maxConnections + " connections, but needs at least one");
        }
    }
}
