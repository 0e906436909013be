package org.sequoianotch.model;

import org.jspecify.annotations.Nullable;

/**
 * Name of an organisation that runs services on the deployment.
 *
 * <p>This type is immutable and ordered by its name.
 *
 * @param name 1 to 63 lower-case letters, digits and hyphens, the first not a hyphen; not null
 */
public record OrganisationName(String name) implements Comparable<OrganisationName> {
    /** Checks the name. */
    public OrganisationName {
        Names.check("organisation", name);
    }

    /**
     * Creates a name.
     *
     * @param name the name; not null
     * @return the name, never null
     * @throws IllegalArgumentException if the name is not valid
     */
    public static OrganisationName of(String name) {
        return new OrganisationName(name);
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return this == other || other instanceof OrganisationName that && name.equals(that.name);
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }

    @Override
    public int compareTo(OrganisationName other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
