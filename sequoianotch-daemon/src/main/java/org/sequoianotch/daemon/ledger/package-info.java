/** The ledger of idempotency keys: it lets a keyed request run at most once and answers its repeats. */
@NullMarked
package org.sequoianotch.daemon.ledger;

import org.jspecify.annotations.NullMarked;
