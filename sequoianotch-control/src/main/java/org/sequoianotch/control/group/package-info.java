/** Raft protocol of the control group. */
@NullMarked
package org.sequoianotch.control.group;

import org.jspecify.annotations.NullMarked;
