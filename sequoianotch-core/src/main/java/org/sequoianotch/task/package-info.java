/** Threads of tasks: one for each connection, each peer and each call. */
@org.jspecify.annotations.NullMarked
package org.sequoianotch.task;
