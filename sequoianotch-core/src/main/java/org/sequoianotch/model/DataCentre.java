package org.sequoianotch.model;

import org.jspecify.annotations.Nullable;

/**
 * Name of a data centre.
 *
 * <p>This type is immutable and ordered by its name.
 *
 * @param name 1 to 63 lower-case letters, digits and hyphens, the first not a hyphen; not null
 */
public record DataCentre(String name) implements Comparable<DataCentre> {
    /** Checks the name. */
    public DataCentre {
        Names.check("data centre", name);
    }

    /**
     * Creates a name.
     *
     * @param name the name; not null
     * @return the name, never null
     * @throws IllegalArgumentException if the name is not valid
     */
    public static DataCentre of(String name) {
        return new DataCentre(name);
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return this == other || other instanceof DataCentre that && name.equals(that.name);
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }

    @Override
    public int compareTo(DataCentre other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
