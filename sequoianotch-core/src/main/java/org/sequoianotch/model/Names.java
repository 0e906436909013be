package org.sequoianotch.model;

import java.util.regex.Pattern;

/** Check shared by the name types, which allow lower-case letters, digits and hyphens, the first not a hyphen. */
final class Names {
    private static final int MAX_LENGTH = 63;
    private static final Pattern ALLOWED = Pattern.compile("[a-z0-9][a-z0-9-]*");

    private Names() {}

    static String check(String type, String name) {
        if (name.length() > MAX_LENGTH || !ALLOWED.matcher(name).matches()) {
            throw new IllegalArgumentException(type + " \"" + name + "\" is not a name of 1 to " + MAX_LENGTH
                    + " lower-case letters, digits and hyphens");
        }
        return name;
    }
}
