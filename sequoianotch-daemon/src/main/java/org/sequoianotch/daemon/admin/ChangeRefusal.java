package org.sequoianotch.daemon.admin;

import java.util.Locale;

/** Why a template change was refused, with the HTTP status of the answer. */
public enum ChangeRefusal {
    /** The template has problems. */
    INVALID(422),
    /** Another change was made after the expected revision. */
    REVISION_CONFLICT(409),
    /** The change id was used for a different change before. */
    CHANGE_ID_REUSED(409),
    /** No majority of the control group is in reach; nothing was changed. */
    NO_MAJORITY(503),
    /** The answer of the control group was lost; the same change id finds out whether the change was made. */
    IN_DOUBT(504),
    /** This node knows no control group. */
    NO_CONTROL_GROUP(503);

    private final int status;

    ChangeRefusal(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status of the answer.
     *
     * @return a status from 400 to 599
     */
    public int status() {
        return status;
    }

    /**
     * Returns the name used in answers.
     *
     * @return the code in lower case, never null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
