/** Naive policies that serve as the baseline for comparison with the protective ones. */
@NullMarked
package org.sequoianotch.policy.naive;

import org.jspecify.annotations.NullMarked;
