/** Connections between nodes (links), and the calls and peer requests that they carry. */
@NullMarked
package org.sequoianotch.protocol.link;

import org.jspecify.annotations.NullMarked;
