package org.sequoianotch.control.state;

import java.util.List;
import java.util.Map;
import org.sequoianotch.model.OrganisationName;

/** Decides whether a text may become part of the configuration. Implementations are thread-safe. */
public interface ConfigurationCheck {
    /** The check of protection templates. */
    ConfigurationCheck TEMPLATES = TemplateCheck::problems;

    /**
     * Checks a change.
     *
     * @param request the change; not null
     * @param texts the texts in force, empty if the change is for another revision; not null
     * @return one sentence for each problem, empty if the change is acceptable; never null
     */
    List<String> problems(ChangeRequest request, Map<OrganisationName, String> texts);
}
