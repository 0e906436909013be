package org.sequoianotch.daemon.call;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.daemon.http.HeaderFields;
import org.sequoianotch.daemon.http.HttpExchange;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.template.ProtectionTemplate;
import org.sequoianotch.template.RouteRule;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.template.TemplateSet;

/** Finds the rules of the templates in force that apply to a request. This class is thread-safe. */
final class CallResolver {
    static final String KEY_HEADER = "Idempotency-Key";
    static final String TIMEOUT_HEADER = "Sequoianotch-Timeout-Ms";

    private final Supplier<TemplateSet> templates;

    CallResolver(Supplier<TemplateSet> templates) {
        this.templates = templates;
    }

    /** Finds the rules for a request. The idempotency key is copied without a check of its form. */
    Either<Failure, OutboundCall> resolve(HttpExchange exchange) {
        return RequestTarget.parse(exchange.uri()).flatMap(target -> resolve(exchange, target));
    }

    private Either<Failure, OutboundCall> resolve(HttpExchange exchange, RequestTarget target) {
        TemplateSet set = templates.get();
        Optional<ProtectionTemplate> template = set.templateOf(target.service());
        Optional<RouteRule> route =
                template.flatMap(found -> found.rule(target.service(), exchange.method(), target.pathWithoutQuery()));
        if (template.isEmpty() || route.isEmpty()) {
            return Either.left(Failure.of(
                    ErrorKind.UNKNOWN_SERVICE,
                    "No template of revision " + set.revision() + " has a rule for " + exchange.method() + " /"
                            + target.service() + target.pathWithoutQuery() + "."));
        }
        List<String> keys = exchange.headers().stream()
                .filter(field -> field.name().equalsIgnoreCase(KEY_HEADER))
                .map(field -> field.value())
                .toList();
        if (keys.size() > 1) {
            return Either.left(Failure.of(
                    ErrorKind.BAD_REQUEST,
                    "The request has " + keys.size() + " Idempotency-Key headers, but must have at most one."));
        }
        ServiceRule limits = template.get().service(target.service()).orElseThrow();
        return Either.right(new OutboundCall(
                exchange.method(),
                target.path(),
                HeaderFields.endToEnd(exchange.headers()),
                exchange.hasBody() ? exchange.bodyBytes() : 0,
                firstOrNull(keys),
                route.get(),
                limits,
                set.revision()));
    }

    private static @Nullable String firstOrNull(List<String> keys) {
        return keys.isEmpty() ? null : keys.get(0);
    }

    /** Reads the timeout of a request: the value of its timeout header, limited to {@code limitMs}. */
    static Either<Failure, Long> timeoutMs(HttpExchange exchange, long limitMs) {
        Optional<String> text = exchange.header(TIMEOUT_HEADER);
        if (text.isEmpty()) {
            return Either.right(limitMs);
        }
        try {
            long requestedMs = Long.parseLong(text.get());
            if (requestedMs > 0) {
                return Either.right(Math.min(requestedMs, limitMs));
            }
        } catch (NumberFormatException e) {
            // Reported below together with numbers out of range.
        }
        return Either.left(Failure.of(
                ErrorKind.BAD_REQUEST,
                TIMEOUT_HEADER + " is \"" + text.get() + "\", but must be a positive number of milliseconds."));
    }
}
