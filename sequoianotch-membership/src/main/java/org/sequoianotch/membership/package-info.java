/** Membership: failure detection, gossip inside a data centre and exchanges between data centres. */
@NullMarked
package org.sequoianotch.membership;

import org.jspecify.annotations.NullMarked;
