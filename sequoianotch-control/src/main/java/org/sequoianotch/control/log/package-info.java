/** Durable log, vote and snapshots of one control host. */
@NullMarked
package org.sequoianotch.control.log;

import org.jspecify.annotations.NullMarked;
