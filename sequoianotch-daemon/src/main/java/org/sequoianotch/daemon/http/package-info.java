/** HTTP/1.1 server and client for callers, backend servers and operators, based on Netty's codec. */
@NullMarked
package org.sequoianotch.daemon.http;

import org.jspecify.annotations.NullMarked;
