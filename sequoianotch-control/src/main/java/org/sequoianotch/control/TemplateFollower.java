package org.sequoianotch.control;

import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import org.sequoianotch.control.state.TemplateTexts;
import org.sequoianotch.protocol.link.PeerRequester;
import org.sequoianotch.template.TemplateSet;
import org.sequoianotch.time.Clock;

/** A {@link ConfigurationFollower} of the protection templates. This class is thread-safe. */
public final class TemplateFollower extends ConfigurationFollower<TemplateSet> {
    /**
     * Creates a follower that is not started.
     *
     * @param options the options; not null
     * @param initial templates in force until a higher revision is received; not null
     * @param requester sends requests to other hosts; not null
     * @param clock the clock; not null
     * @param neighbours supplies the peer addresses of other nodes; called for each selection; not null
     * @param random selects the neighbours to poll; not null
     */
    public TemplateFollower(
            FollowerOptions options,
            TemplateSet initial,
            PeerRequester requester,
            Clock clock,
            Supplier<List<String>> neighbours,
            Random random) {
        super(
                options,
                options::controlAddresses,
                initial,
                initial.revision(),
                TemplateTexts::parse,
                requester,
                clock,
                neighbours,
                random);
    }
}
