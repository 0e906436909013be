package org.sequoianotch.model;

/**
 * Name of a data centre.
 *
 * <p>This type is immutable and ordered by its text.
 *
 * @param name 1 to 63 lower-case letters, digits and hyphens; not null
 */
public record DataCentre(String name) implements Comparable<DataCentre> {
    /** Checks the name. */
    public DataCentre {
        Names.check("data centre", name);
    }

    /**
     * Creates a name.
     *
     * @param name the text; not null
     * @return the name, never null
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public static DataCentre of(String name) {
        return new DataCentre(name);
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
