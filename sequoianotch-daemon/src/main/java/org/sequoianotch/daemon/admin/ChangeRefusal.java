package org.sequoianotch.daemon.admin;

import java.util.Locale;

/** Reasons for which a template change is refused, and the HTTP status code of the response. */
public enum ChangeRefusal {
    /** The template is invalid. */
    INVALID(422),
    /** Another change was committed after the expected revision. */
    REVISION_CONFLICT(409),
    /** The change id has already been used for a different change. */
    CHANGE_ID_REUSED(409),
    /** No majority of the control group is reachable; nothing was changed. */
    NO_MAJORITY(503),
    /**
     * No response of the control group arrived, so the change may have been committed. Resending it with the same
     * change id shows whether it was.
     */
    IN_DOUBT(504),
    /** The settings of this node name no control group. */
    NO_CONTROL_GROUP(503);

    private final int status;

    ChangeRefusal(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status code of the response.
     *
     * @return a status code from 400 to 599
     */
    public int status() {
        return status;
    }

    /**
     * Returns the error code in the response body.
     *
     * @return the name of the constant in lower case, never null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
