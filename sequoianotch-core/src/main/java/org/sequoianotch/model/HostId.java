package org.sequoianotch.model;

import org.jspecify.annotations.Nullable;

/**
 * Identifier of a host, unique in the deployment.
 *
 * <p>This type is immutable and ordered by its name.
 *
 * @param name 1 to 63 lower-case letters, digits and hyphens, the first not a hyphen; not null
 */
public record HostId(String name) implements Comparable<HostId> {
    /** Checks the name of the host. */
    public HostId {
        Names.check("host", name);
    }

    /**
     * Creates an identifier.
     *
     * @param name the name; not null
     * @return the identifier, never null
     * @throws IllegalArgumentException if the name is not valid
     */
    public static HostId of(String name) {
        return new HostId(name);
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return this == other || other instanceof HostId that && name.equals(that.name);
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }

    @Override
    public int compareTo(HostId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
