/** Measurements of membership traffic, processor time and memory. */
@NullMarked
package org.sequoianotch.membership.measure;

import org.jspecify.annotations.NullMarked;
