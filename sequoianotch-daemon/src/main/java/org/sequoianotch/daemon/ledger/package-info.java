/** The ledger of idempotency keys. A request with a key runs at most once; repeats get the stored response. */
@NullMarked
package org.sequoianotch.daemon.ledger;

import org.jspecify.annotations.NullMarked;
