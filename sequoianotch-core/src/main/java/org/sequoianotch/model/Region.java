package org.sequoianotch.model;

import org.jspecify.annotations.Nullable;

/**
 * Name of a region, which holds one or more data centres.
 *
 * <p>This type is immutable and ordered by its name.
 *
 * @param name 1 to 63 lower-case letters, digits and hyphens, the first not a hyphen; not null
 */
public record Region(String name) implements Comparable<Region> {
    /** Checks the name. */
    public Region {
        Names.check("region", name);
    }

    /**
     * Creates a name.
     *
     * @param name the name; not null
     * @return the name, never null
     * @throws IllegalArgumentException if the name is not valid
     */
    public static Region of(String name) {
        return new Region(name);
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return this == other || other instanceof Region that && name.equals(that.name);
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }

    @Override
    public int compareTo(Region other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
