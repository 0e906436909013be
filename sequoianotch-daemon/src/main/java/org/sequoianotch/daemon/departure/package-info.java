/** Departures of instances: their record on other hosts, which outlives a restart of the node beside the instance. */
@NullMarked
package org.sequoianotch.daemon.departure;

import org.jspecify.annotations.NullMarked;
