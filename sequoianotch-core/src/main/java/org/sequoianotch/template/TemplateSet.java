package org.sequoianotch.template;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sequoianotch.model.OrganisationName;
import org.sequoianotch.model.ServiceName;

/**
 * The templates of all organisations at one revision.
 *
 * <p>This type is immutable. The revision is common to the whole deployment and increases by one with each change.
 *
 * @param revision the revision; zero before the first change
 * @param templates the templates by organisation; not null
 */
public record TemplateSet(long revision, Map<OrganisationName, ProtectionTemplate> templates) {
    /** The set before the first change, with revision zero and no templates. */
    public static final TemplateSet EMPTY = new TemplateSet(0, Map.of());

    /** Copies the map. */
    public TemplateSet {
        if (revision < 0) {
            throw new IllegalArgumentException("revision is " + revision + ", but must not be negative");
        }
        templates = Map.copyOf(templates);
    }

    /**
     * Returns a copy with one template added or replaced, at the next revision.
     *
     * @param template the template; not null
     * @return the copy, never null
     */
    public TemplateSet plusTemplate(ProtectionTemplate template) {
        Map<OrganisationName, ProtectionTemplate> copy = new TreeMap<>(templates);
        copy.put(template.organisation(), template);
        return new TemplateSet(revision + 1, copy);
    }

    /**
     * Finds the template that contains a service.
     *
     * @param service the service; not null
     * @return the template, or empty if none contains the service
     */
    public Optional<ProtectionTemplate> templateOf(ServiceName service) {
        return templates.values().stream()
                .filter(template -> template.service(service).isPresent())
                .findFirst();
    }
}
