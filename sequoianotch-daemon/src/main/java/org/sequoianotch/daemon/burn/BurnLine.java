package org.sequoianotch.daemon.burn;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.sequoianotch.template.Objective;

/**
 * Request counts of an objective.
 *
 * <p>This type is immutable.
 *
 * @param objective the objective; not null
 * @param fast counts of the fast window, which covers the last 5 minutes; not null
 * @param slow counts of the slow window, which covers the last hour; not null
 * @param minutes counts of each minute of the last hour, in chronological order; not null, with
 *     {@link BurnCounters#MINUTES} elements
 */
public record BurnLine(Objective objective, WindowCounts fast, WindowCounts slow, List<WindowCounts> minutes) {
    /**
     * Checks the components and copies the list.
     *
     * @throws IllegalArgumentException if the number of minutes is wrong
     */
    public BurnLine {
        Objects.requireNonNull(objective, "objective");
        Objects.requireNonNull(fast, "fast");
        Objects.requireNonNull(slow, "slow");
        minutes = List.copyOf(minutes);
        if (minutes.size() != BurnCounters.MINUTES) {
            throw new IllegalArgumentException(
                    "A line must have " + BurnCounters.MINUTES + " minutes, but has " + minutes.size());
        }
    }

    /**
     * Returns the burn rate of the fast window.
     *
     * @return the rate; zero without requests
     */
    public double fastRate() {
        return fast.burnRate(objective);
    }

    /**
     * Returns the burn rate of the slow window.
     *
     * @return the rate; zero without requests
     */
    public double slowRate() {
        return slow.burnRate(objective);
    }

    BurnLine plus(BurnLine other) {
        List<WindowCounts> sums = new ArrayList<>(minutes);
        for (int i = 0; i < sums.size(); i++) {
            sums.set(i, sums.get(i).plus(other.minutes.get(i)));
        }
        return new BurnLine(objective, fast.plus(other.fast), slow.plus(other.slow), sums);
    }
}
