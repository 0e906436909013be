/** Stand-in backend servers for tests and measurements, with configurable work, downstream calls and faults. */
@NullMarked
package org.sequoianotch.proof.standin;

import org.jspecify.annotations.NullMarked;
