/** The operator command sequoianotchctl. */
@NullMarked
package org.sequoianotch.ctl;

import org.jspecify.annotations.NullMarked;
