/** HTTP interface for operators: status, explanations, burn reports, metrics and template changes. */
@NullMarked
package org.sequoianotch.daemon.admin;

import org.jspecify.annotations.NullMarked;
