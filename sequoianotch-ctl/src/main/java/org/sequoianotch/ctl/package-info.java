/** Command line tool for operators, {@code sequoianotchctl}. */
@NullMarked
package org.sequoianotch.ctl;

import org.jspecify.annotations.NullMarked;
