/**
 * Identifiers and value types shared by all modules.
 *
 * <p>The identifiers define {@code equals} and {@code hashCode} explicitly, because the implementations that the Java
 * runtime generates for records are slow until they are compiled.
 */
@NullMarked
package org.sequoianotch.model;

import org.jspecify.annotations.NullMarked;
