package org.sequoianotch.protocol.link;

import org.sequoianotch.time.Clock;

/** What all links of a node share. */
record LinkContext(LinkOptions options, Transport transport, Clock clock, LinkCounters counters) {}
