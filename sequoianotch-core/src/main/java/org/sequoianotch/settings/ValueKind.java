package org.sequoianotch.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Kind of a setting's value, which checks a text and describes the allowed values. */
public enum ValueKind {
    /** A whole number within a range. */
    INTEGER("a whole number") {
        @Override
        public boolean accepts(String text, long min, long max) {
            return withinRange(text, min, max);
        }
    },
    /** A number with an optional fraction within a range. */
    DECIMAL("a number with an optional fraction") {
        @Override
        public boolean accepts(String text, long min, long max) {
            if (!text.matches("\\d{1,9}(\\.\\d{1,9})?")) {
                return false;
            }
            double value = Double.parseDouble(text);
            return value >= min && value <= max;
        }
    },
    /** A duration in milliseconds, written without a unit. */
    DURATION_MS("a whole number of milliseconds") {
        @Override
        public boolean accepts(String text, long min, long max) {
            return withinRange(text, min, max);
        }
    },
    /** A size in bytes, written without a unit. */
    SIZE_BYTES("a whole number of bytes") {
        @Override
        public boolean accepts(String text, long min, long max) {
            return withinRange(text, min, max);
        }
    },
    /** {@code true} or {@code false}. */
    BOOLEAN("true or false") {
        @Override
        public boolean accepts(String text, long min, long max) {
            return text.equals("true") || text.equals("false");
        }
    },
    /** A name of lower-case letters, digits and hyphens. */
    NAME("1 to 63 lower-case letters, digits and hyphens") {
        @Override
        public boolean accepts(String text, long min, long max) {
            return text.matches("[a-z0-9][a-z0-9-]{0,62}");
        }
    },
    /** Names separated by commas. */
    NAME_LIST("names of lower-case letters, digits and hyphens, separated by commas") {
        @Override
        public boolean accepts(String text, long min, long max) {
            return items(text).stream().allMatch(item -> NAME.accepts(item, min, max));
        }
    },
    /** An IP address and a port. */
    ADDRESS("an IP address and a port, such as 127.0.0.1:8080") {
        @Override
        public boolean accepts(String text, long min, long max) {
            return parseAddress(text).isPresent();
        }
    },
    /** Addresses separated by commas. */
    ADDRESS_LIST("addresses such as 127.0.0.1:8082, separated by commas") {
        @Override
        public boolean accepts(String text, long min, long max) {
            return items(text).stream().allMatch(item -> parseAddress(item).isPresent());
        }
    },
    /** Pairs of a name and an address, such as {@code rennes-1=127.0.0.1:8082}, separated by commas. */
    NAMED_ADDRESS_LIST("pairs such as rennes-1=127.0.0.1:8082, separated by commas") {
        @Override
        public boolean accepts(String text, long min, long max) {
            return items(text).stream().allMatch(ValueKind::isNamedAddress);
        }
    },
    /** Free text with a length within a range. */
    TEXT("text") {
        @Override
        public boolean accepts(String text, long min, long max) {
            return text.length() >= min && text.length() <= max;
        }
    };

    private static final int MAX_PORT = 65_535;

    private final String description;

    ValueKind(String description) {
        this.description = description;
    }

    /**
     * Tells whether a text is a value of this kind.
     *
     * @param text the text; not null
     * @param min smallest value, or smallest length of a {@link #TEXT}; ignored by kinds without a range
     * @param max largest value, or largest length of a {@link #TEXT}; ignored by kinds without a range
     * @return true if the text is a valid value
     */
    public abstract boolean accepts(String text, long min, long max);

    /**
     * Returns a description of the values of this kind.
     *
     * @return a phrase, never null
     */
    public String description() {
        return description;
    }

    /**
     * Splits a list at its commas.
     *
     * @param text the list; not null
     * @return the items without surrounding blanks, never null; empty items are left out
     */
    public static List<String> items(String text) {
        return Arrays.stream(text.split(","))
                .map(String::trim)
                .filter(item -> !item.isEmpty())
                .toList();
    }

    /**
     * Parses an IP address with a port. Host names are not accepted, because they would need a name service.
     *
     * @param text the text, such as {@code 127.0.0.1:8080} or {@code [::1]:8080}; not null
     * @return the address, or empty if the text is not valid
     */
    public static Optional<InetSocketAddress> parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        String host = text.substring(0, colon).replace("[", "").replace("]", "");
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > MAX_PORT) {
                return Optional.empty();
            }
            return Optional.of(new InetSocketAddress(InetAddress.ofLiteral(host), port));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static boolean isNamedAddress(String item) {
        int equals = item.indexOf('=');
        return equals > 0
                && NAME.accepts(item.substring(0, equals), 0, 0)
                && parseAddress(item.substring(equals + 1)).isPresent();
    }

    private static boolean withinRange(String text, long min, long max) {
        try {
            long value = Long.parseLong(text);
            return value >= min && value <= max;
        } catch (NumberFormatException e) {
            return false;
        }
    }
}
