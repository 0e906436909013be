package org.sequoianotch.template;

import java.util.Locale;
import java.util.Optional;

/** Whether a call on a route may be sent again. */
public enum RepeatRule {
    /** The call is idempotent; it may be sent again within the retry allowance. */
    SAFE(true, false),
    /**
     * The call runs at most once for each idempotency key; it is sent again only if it is certain that it did not run.
     */
    KEYED(false, true),
    /** The call has no key; it is sent again only if it is certain that it did not run. */
    NEVER(false, false);

    private final boolean repeatableInDoubt;
    private final boolean needsKey;

    RepeatRule(boolean repeatableInDoubt, boolean needsKey) {
        this.repeatableInDoubt = repeatableInDoubt;
        this.needsKey = needsKey;
    }

    /**
     * Finds a rule by its code.
     *
     * @param code the code, such as {@code safe}; not null
     * @return the rule, or empty if no rule has this code
     */
    public static Optional<RepeatRule> ofCode(String code) {
        for (RepeatRule rule : values()) {
            if (rule.code().equals(code)) {
                return Optional.of(rule);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the name used in templates.
     *
     * @return the code in lower case, never null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Tells whether a call may be sent again although an earlier attempt may have run.
     *
     * @return true for idempotent calls
     */
    public boolean isRepeatableInDoubt() {
        return repeatableInDoubt;
    }

    /**
     * Tells whether the request of a caller needs an idempotency key.
     *
     * @return true for keyed routes
     */
    public boolean needsKey() {
        return needsKey;
    }
}
