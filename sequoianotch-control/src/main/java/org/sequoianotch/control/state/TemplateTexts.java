package org.sequoianotch.control.state;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;
import org.sequoianotch.model.OrganisationName;
import org.sequoianotch.settings.SettingsProblem;
import org.sequoianotch.template.ProtectionTemplate;
import org.sequoianotch.template.TemplateParser;
import org.sequoianotch.template.TemplateSet;

/**
 * The template texts of all organisations at one revision.
 *
 * <p>This type is immutable.
 *
 * @param revision the revision, or zero before the first change; not negative
 * @param texts INI texts by organisation; not null
 */
public record TemplateTexts(long revision, SortedMap<OrganisationName, String> texts) {
    /** No templates, at revision zero. */
    public static final TemplateTexts EMPTY = new TemplateTexts(0, new TreeMap<>());

    /** Checks the revision and copies the map. */
    public TemplateTexts {
        if (revision < 0) {
            throw new IllegalArgumentException("revision is " + revision + ", but must not be negative");
        }
        texts = Collections.unmodifiableSortedMap(new TreeMap<>(texts));
    }

    /**
     * Parses all templates.
     *
     * @return the templates, or all problems of the texts
     */
    public Either<List<SettingsProblem>, TemplateSet> parse() {
        List<SettingsProblem> problems = new ArrayList<>();
        Map<OrganisationName, ProtectionTemplate> templates = new HashMap<>();
        texts.forEach((organisation, text) -> TemplateParser.parse(organisation.name() + ".ini", text)
                .peek(template -> templates.put(organisation, template))
                .peekLeft(problems::addAll));
        return problems.isEmpty() ? Either.right(new TemplateSet(revision, templates)) : Either.left(problems);
    }

    /**
     * Encodes the texts.
     *
     * @param encoder the encoder to write to; not null
     */
    public void encode(Encoder encoder) {
        encoder.number(revision).number(texts.size());
        texts.forEach((organisation, text) -> encoder.text(organisation.name()).compressedText(text));
    }

    /**
     * Decodes texts.
     *
     * @param decoder the decoder to read from; not null
     * @return the texts, never null
     * @throws IllegalArgumentException if the message is malformed
     */
    public static TemplateTexts decode(Decoder decoder) {
        long revision = decoder.number();
        int count = decoder.count();
        SortedMap<OrganisationName, String> texts = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            texts.put(OrganisationName.of(decoder.text()), decoder.compressedText());
        }
        return new TemplateTexts(revision, texts);
    }
}
