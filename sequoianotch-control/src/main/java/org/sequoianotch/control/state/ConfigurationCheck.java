package org.sequoianotch.control.state;

import java.util.List;
import java.util.Map;
import org.sequoianotch.model.OrganisationName;

/** Validates a configuration text before it is proposed. Implementations are thread-safe. */
public interface ConfigurationCheck {
    /** Validates protection templates. */
    ConfigurationCheck TEMPLATES = TemplateCheck::problems;

    /**
     * Validates a change.
     *
     * @param request the change; not null
     * @param texts the texts in force, or empty if the change is based on another revision; not null
     * @return one sentence for each problem, or empty if the change is valid; never null
     */
    List<String> problems(ChangeRequest request, Map<OrganisationName, String> texts);
}
