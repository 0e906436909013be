/** Metrics of a node in the Prometheus text format. */
@NullMarked
package org.sequoianotch.daemon.metrics;

import org.jspecify.annotations.NullMarked;
