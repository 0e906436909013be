package org.sequoianotch.protocol.link;

import org.sequoianotch.time.Clock;

/** Resources shared by all links of a node. */
record LinkContext(LinkOptions options, Transport transport, Clock clock, LinkCounters counters) {}
