/** Admission control at an instance and at the entry node. */
@NullMarked
package org.sequoianotch.policy.admission;

import org.jspecify.annotations.NullMarked;
