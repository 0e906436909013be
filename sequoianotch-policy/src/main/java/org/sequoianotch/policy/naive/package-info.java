/** Naive decisions behind the same interfaces, as the baseline that the protective ones are compared with. */
@NullMarked
package org.sequoianotch.policy.naive;

import org.jspecify.annotations.NullMarked;
