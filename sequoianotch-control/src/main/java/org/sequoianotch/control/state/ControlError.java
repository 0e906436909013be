package org.sequoianotch.control.state;

import java.util.Locale;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;

/**
 * Reasons why the control group refuses or fails to complete a request.
 *
 * <p>A refusal of a change is final: a resend with the same change id gets the same refusal, or one for the same
 * reason. After any other error the change may still be accepted, because an earlier or lost attempt may have reached
 * the log.
 */
public enum ControlError {
    /** The change is based on another revision than the current one. */
    STALE_REVISION(true, "The change is based on another revision than the current one."),
    /** The template is invalid. */
    INVALID_TEMPLATE(true, "The template is invalid."),
    /** The change id was used for a different change before. */
    CHANGE_ID_REUSED(true, "The change id was used for a different change before."),
    /** No leader of the group is reachable. */
    NO_LEADER(false, "No leader of the control group is reachable; repeat the change with the same change id."),
    /** The leader's response was lost, or the leader lost its majority before the change was committed. */
    ANSWER_LOST(false, "The change may or may not be accepted; repeat it with the same change id to find out."),
    /** The control host withdrew from the group, usually because its data folder failed. */
    STORAGE_FAILED(false, "The control host cannot use its data folder and does not take part in the group."),
    /** The members cannot be changed now. */
    MEMBERS_NOT_CHANGED(false, "The members of the control group were not changed.");

    private static final long RETRY_AFTER_MS = 1_000;

    private final boolean refusal;
    private final String title;

    ControlError(boolean refusal, String title) {
        this.refusal = refusal;
        this.title = title;
    }

    /**
     * Returns the code used in responses and logs.
     *
     * @return the code in lower case, never null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the explanation for operators.
     *
     * @return one sentence, never null
     */
    public String title() {
        return title;
    }

    /**
     * Returns whether this is a final refusal of a change.
     *
     * @return true if the change is not in force and never will be
     */
    public boolean isRefusal() {
        return refusal;
    }

    /**
     * Creates a failure for an error that is not a refusal. {@link ErrorKind} has no kind for the control group, so the
     * failure has the kind {@link ErrorKind#CONNECTION_LOST}, which does not prove that the request was not executed,
     * and its detail starts with this code.
     *
     * @param detail details of this case, or empty; not null
     * @return the failure, never null
     */
    public Failure failure(String detail) {
        String separator = detail.isEmpty() ? "" : " ";
        return new Failure(ErrorKind.CONNECTION_LOST, code() + ": " + title + separator + detail, RETRY_AFTER_MS);
    }

    /**
     * Returns the error with a code.
     *
     * @param code the code; not null
     * @return the error, never null
     * @throws IllegalArgumentException if no error has this code
     */
    public static ControlError ofCode(String code) {
        for (ControlError error : values()) {
            if (error.code().equals(code)) {
                return error;
            }
        }
        throw new IllegalArgumentException("unknown control error code \"" + code + "\"");
    }
}
