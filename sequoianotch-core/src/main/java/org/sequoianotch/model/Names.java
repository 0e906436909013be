package org.sequoianotch.model;

import java.util.regex.Pattern;

/** Check shared by the name types: lower-case letters, digits and hyphens, starting with a letter or a digit. */
final class Names {
    private static final int MAX_LENGTH = 63;
    private static final Pattern ALLOWED = Pattern.compile("[a-z0-9][a-z0-9-]*");

    private Names() {}

    static String check(String what, String name) {
        if (name.length() > MAX_LENGTH || !ALLOWED.matcher(name).matches()) {
            throw new IllegalArgumentException(what + " \"" + name + "\" is not a name of 1 to " + MAX_LENGTH
                    + " lower-case letters, digits and hyphens");
        }
        return name;
    }
}
