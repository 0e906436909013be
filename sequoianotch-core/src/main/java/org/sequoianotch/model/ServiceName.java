package org.sequoianotch.model;

import org.jspecify.annotations.Nullable;

/**
 * Name of a service, unique in the deployment.
 *
 * <p>This type is immutable and ordered by its text.
 *
 * @param name 1 to 63 lower-case letters, digits and hyphens; not null
 */
public record ServiceName(String name) implements Comparable<ServiceName> {
    /** Checks the name. */
    public ServiceName {
        Names.check("service", name);
    }

    /**
     * Creates a name.
     *
     * @param name the text; not null
     * @return the name, never null
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public static ServiceName of(String name) {
        return new ServiceName(name);
    }

    // Written out, because the methods that the Java runtime makes for records are slow until they are compiled.
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
