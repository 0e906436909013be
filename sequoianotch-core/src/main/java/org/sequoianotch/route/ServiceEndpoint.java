package org.sequoianotch.route;

import java.util.Objects;
import org.sequoianotch.model.ServiceName;

/**
 * Properties of the instances of a service, as given by a route table.
 *
 * <p>This type is immutable.
 *
 * @param service the service; not null
 * @param healthPath path of the health check of an instance; not null
 * @param maxConnections largest number of connections that an instance accepts from all callers together; positive
 */
public record ServiceEndpoint(ServiceName service, String healthPath, int maxConnections) {
    /** Checks that the number of connections is positive. */
    public ServiceEndpoint {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(healthPath, "healthPath");
        if (maxConnections < 1) {
            throw new IllegalArgumentException(
                    "maxConnections of service " + service + " is " + maxConnections + ", but must be at least 1");
        }
    }
}
