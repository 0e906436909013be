package org.sequoianotch.control.state;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.sequoianotch.model.OrganisationName;
import org.sequoianotch.settings.SettingsProblem;
import org.sequoianotch.template.ProtectionTemplate;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.template.TemplateParser;

/** Validates a template by itself and against the templates of the other organisations. This class is stateless. */
final class TemplateCheck {
    private TemplateCheck() {}

    static List<String> problems(ChangeRequest request, Map<OrganisationName, String> texts) {
        Either<List<SettingsProblem>, ProtectionTemplate> parsed =
                parse(request.organisation(), request.templateText());
        if (parsed.isLeft()) {
            return parsed.getLeft().stream().map(SettingsProblem::toString).toList();
        }
        List<String> problems = new ArrayList<>();
        ProtectionTemplate template = parsed.get();
        if (!template.organisation().equals(request.organisation())) {
            problems.add("The template names organisation " + template.organisation() + ", but the change is for "
                    + request.organisation() + ".");
        }
        long sizeBytes = sizeBytes(request.templateText());
        for (Map.Entry<OrganisationName, String> other : texts.entrySet()) {
            if (!other.getKey().equals(request.organisation())) {
                sizeBytes += sizeBytes(other.getValue());
                addSharedServices(template, other.getKey(), other.getValue(), problems);
            }
        }
        if (sizeBytes > TemplateState.MAX_TEXT_BYTES) {
            problems.add("The templates of all organisations together would have " + sizeBytes + " bytes; the limit is "
                    + TemplateState.MAX_TEXT_BYTES + " bytes.");
        }
        return problems;
    }

    private static void addSharedServices(
            ProtectionTemplate template, OrganisationName owner, String text, List<String> problems) {
        parse(owner, text).peek(other -> {
            for (ServiceRule rule : template.services()) {
                if (other.service(rule.service()).isPresent()) {
                    problems.add("Service " + rule.service() + " belongs to organisation " + owner + ".");
                }
            }
        });
    }

    private static Either<List<SettingsProblem>, ProtectionTemplate> parse(OrganisationName name, String text) {
        return TemplateParser.parse(name.name() + ".ini", text);
    }

    private static long sizeBytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
