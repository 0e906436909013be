package org.sequoianotch.daemon;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoianotch.model.OrganisationName;
import org.sequoianotch.settings.SettingsProblem;
import org.sequoianotch.template.ProtectionTemplate;
import org.sequoianotch.template.TemplateParser;
import org.sequoianotch.template.TemplateSet;

/**
 * Holds the templates in force on this node. Their revision never decreases.
 *
 * <p>This class is thread-safe.
 */
public final class TemplateSource {
    private static final Logger LOG = LogManager.getLogger(TemplateSource.class);

    private final TemplateSet fromFiles;
    private final AtomicReference<TemplateSet> current;
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

    private TemplateSource(TemplateSet fromFiles) {
        this.fromFiles = fromFiles;
        current = new AtomicReference<>(fromFiles);
    }

    /**
     * Reads the template files, which are in force until the control group offers a higher revision.
     *
     * @param files the files; not null, may be empty
     * @return the source with revision zero, or all problems of the files
     */
    public static Either<List<SettingsProblem>, TemplateSource> read(List<Path> files) {
        List<SettingsProblem> problems = new ArrayList<>();
        Map<OrganisationName, ProtectionTemplate> templates = new TreeMap<>();
        for (Path file : files) {
            readFile(file)
                    .peek(template -> templates.put(template.organisation(), template))
                    .peekLeft(problems::addAll);
        }
        return problems.isEmpty()
                ? Either.right(new TemplateSource(new TemplateSet(0, templates)))
                : Either.left(problems);
    }

    private static Either<List<SettingsProblem>, ProtectionTemplate> readFile(Path file) {
        try {
            return TemplateParser.parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            return Either.left(List.of(
                    new SettingsProblem(file.toString(), "", "", "", "the template file cannot be read: " + e)));
        }
    }

    /**
     * Returns the templates in force.
     *
     * @return the templates, never null
     */
    public TemplateSet current() {
        return current.get();
    }

    /**
     * Puts the offered templates in force if their revision is higher than the current one, and otherwise ignores them.
     * Organisations without an offered template keep the template from their file.
     *
     * @param offered the offered templates; not null
     * @return true if the offered templates were put in force
     */
    public boolean offer(TemplateSet offered) {
        Map<OrganisationName, ProtectionTemplate> templates = new TreeMap<>(fromFiles.templates());
        templates.putAll(offered.templates());
        TemplateSet merged = new TemplateSet(offered.revision(), templates);
        TemplateSet previous = current.getAndUpdate(now -> merged.revision() > now.revision() ? merged : now);
        boolean raised = merged.revision() > previous.revision();
        if (raised) {
            LOG.info("[node] Revision {} of the templates is in force.", merged.revision());
            listeners.forEach(Runnable::run);
        }
        return raised;
    }

    /**
     * Adds a listener that runs after each change of the templates in force.
     *
     * @param listener the listener, which must return quickly; not null
     */
    public void addListener(Runnable listener) {
        listeners.add(listener);
    }
}
