/** Identifiers and value types shared by all modules. */
@NullMarked
package org.sequoianotch.model;

import org.jspecify.annotations.NullMarked;
