package org.sequoianotch.policy.admission;

import org.sequoianotch.model.Criticality;

/**
 * Expected run times of the calls of an instance, by criticality and by whether they are sub-calls.
 *
 * <p>This class is not thread-safe.
 */
final class RunTimeEstimate {
    /** Follows a change of the run times within some tens of calls. */
    private static final double WEIGHT_OF_NEWEST = 0.1;

    private final double[][] meanMs = new double[Criticality.values().length][2];

    private static int kind(AdmissionRequest request) {
        return request.depth() > 0 ? 1 : 0;
    }

    /** Returns the expected run time in milliseconds; zero before the first call of the kind has ended. */
    double of(AdmissionRequest request) {
        return meanMs[request.criticality().ordinal()][kind(request)];
    }

    void record(AdmissionRequest request, double runTimeMs) {
        double[] means = meanMs[request.criticality().ordinal()];
        double known = means[kind(request)];
        means[kind(request)] = known == 0 ? runTimeMs : known + WEIGHT_OF_NEWEST * (runTimeMs - known);
    }
}
