/** Virtual threads that run tasks, and the signals, promises and deadlines that tasks wait for. */
@org.jspecify.annotations.NullMarked
package org.sequoianotch.task;
