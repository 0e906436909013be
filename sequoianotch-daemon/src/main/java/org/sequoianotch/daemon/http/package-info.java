/** HTTP towards callers, backend servers and operators, by Netty's codec. */
@NullMarked
package org.sequoianotch.daemon.http;

import org.jspecify.annotations.NullMarked;
