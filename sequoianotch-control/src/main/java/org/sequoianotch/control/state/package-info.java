/** Replicated state of the control group: templates, revisions and audit records. */
@NullMarked
package org.sequoianotch.control.state;

import org.jspecify.annotations.NullMarked;
