/** Stand-in backend servers that announce themselves, work for a while, call other services and keep a record. */
@NullMarked
package org.sequoianotch.proof.standin;

import org.jspecify.annotations.NullMarked;
