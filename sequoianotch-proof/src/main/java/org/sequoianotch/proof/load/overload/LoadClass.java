package org.sequoianotch.proof.load.overload;

import org.sequoianotch.model.Criticality;
import org.sequoianotch.proof.load.CallTemplate;

/**
 * One class of requests in a load plan.
 *
 * <p>This type is immutable.
 *
 * @param criticality criticality of the requests, as assigned by the template; not null
 * @param call the request; not null
 * @param timeoutMs time limit of the client over all attempts, in milliseconds; positive
 * @param share fraction of the load; the shares of all classes add up to 1
 */
record LoadClass(Criticality criticality, CallTemplate call, long timeoutMs, double share) {}
