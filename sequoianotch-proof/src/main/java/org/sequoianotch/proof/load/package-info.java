/** Open-loop load generation, and measurement of latency and memory. */
@NullMarked
package org.sequoianotch.proof.load;

import org.jspecify.annotations.NullMarked;
