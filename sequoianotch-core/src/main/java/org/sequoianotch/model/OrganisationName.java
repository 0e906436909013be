package org.sequoianotch.model;

import org.jspecify.annotations.Nullable;

/**
 * Name of an organisation that runs services on the deployment.
 *
 * <p>This type is immutable and ordered by its text.
 *
 * @param name 1 to 63 lower-case letters, digits and hyphens; not null
 */
public record OrganisationName(String name) implements Comparable<OrganisationName> {
    /** Checks the name. */
    public OrganisationName {
        Names.check("organisation", name);
    }

    /**
     * Creates a name.
     *
     * @param name the text; not null
     * @return the name, never null
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public static OrganisationName of(String name) {
        return new OrganisationName(name);
    }

    // Written out, because the methods that the Java runtime makes for records are slow until they are compiled.
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
