/** Retry allowances of requests and retry budgets of services. */
@NullMarked
package org.sequoianotch.policy.retry;

import org.jspecify.annotations.NullMarked;
