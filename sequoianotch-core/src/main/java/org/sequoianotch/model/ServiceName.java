package org.sequoianotch.model;

import org.jspecify.annotations.Nullable;

/**
 * Name of a service, unique in the deployment.
 *
 * <p>This type is immutable and ordered by its name.
 *
 * @param name 1 to 63 lower-case letters, digits and hyphens, the first not a hyphen; not null
 */
public record ServiceName(String name) implements Comparable<ServiceName> {
    /** Checks the name. */
    public ServiceName {
        Names.check("service", name);
    }

    /**
     * Creates a name.
     *
     * @param name the name; not null
     * @return the name, never null
     * @throws IllegalArgumentException if the name is not valid
     */
    public static ServiceName of(String name) {
        return new ServiceName(name);
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return this == other || other instanceof ServiceName that && name.equals(that.name);
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }

    @Override
    public int compareTo(ServiceName other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
