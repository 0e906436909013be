package org.sequoianotch.proof.load.overload;

import java.util.List;
import org.sequoianotch.proof.standin.DownstreamCall;

/**
 * One service in a load plan.
 *
 * <p>This type is immutable.
 *
 * @param name name of the service; not null
 * @param instances number of instances; positive
 * @param slots number of requests that an instance processes concurrently; positive
 * @param workMs work time of each request, in milliseconds; not negative
 * @param callsText calls to other services in the form of {@link DownstreamCall#parse}, separated by commas; not null
 * @param calls the parsed calls; not null
 */
record ServicePlan(
        String name, int instances, int slots, double workMs, String callsText, List<DownstreamCall> calls) {}
