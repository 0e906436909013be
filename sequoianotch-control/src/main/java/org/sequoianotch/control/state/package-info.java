/** Templates, revisions and audit record of the control group. */
@NullMarked
package org.sequoianotch.control.state;

import org.jspecify.annotations.NullMarked;
