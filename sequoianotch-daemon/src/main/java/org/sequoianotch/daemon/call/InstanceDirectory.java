package org.sequoianotch.daemon.call;

import java.util.List;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.ServiceName;

/** Looks up the instances of a service that accept work. Implementations are thread-safe. */
@FunctionalInterface
public interface InstanceDirectory {
    /**
     * Returns the instances of a service that accept work.
     *
     * @param service the service; not null
     * @return the instances, never null, may be empty
     */
    List<Instance> instances(ServiceName service);
}
