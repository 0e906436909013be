/** Replicated configuration: the control group and the followers of its revisions. */
@NullMarked
package org.sequoianotch.control;

import org.jspecify.annotations.NullMarked;
