package org.sequoianotch.model;

/**
 * Identifier of a host, unique in the deployment.
 *
 * <p>This type is immutable and ordered by its text.
 *
 * @param name 1 to 63 lower-case letters, digits and hyphens; not null
 */
public record HostId(String name) implements Comparable<HostId> {
    /** Checks the name. */
    public HostId {
        Names.check("host", name);
    }

    /**
     * Creates a name.
     *
     * @param name the text; not null
     * @return the name, never null
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public static HostId of(String name) {
        return new HostId(name);
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
