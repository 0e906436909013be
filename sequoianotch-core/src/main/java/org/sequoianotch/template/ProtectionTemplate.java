package org.sequoianotch.template;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.sequoianotch.model.OrganisationName;
import org.sequoianotch.model.ServiceName;

/**
 * Protection template of one organisation, with the limits of its services, its route rules and its objectives.
 *
 * <p>This type is immutable. {@link TemplateParser} reads it from INI text.
 *
 * @param organisation the organisation; not null
 * @param services limits of each service; not null
 * @param routes route rules in any order, sorted so that the most specific ones come first; not null
 * @param objectives service-level objectives; not null
 */
public record ProtectionTemplate(
        OrganisationName organisation, List<ServiceRule> services, List<RouteRule> routes, List<Objective> objectives) {
    private static final Comparator<RouteRule> MOST_SPECIFIC_FIRST = Comparator.comparing(
                    (RouteRule route) -> -route.pathPrefix().length())
            .thenComparing(route -> route.method().equals(RouteRule.ANY_METHOD))
            .thenComparing(RouteRule::label);

    /** Copies the lists and sorts the routes. */
    public ProtectionTemplate {
        Objects.requireNonNull(organisation, "organisation");
        services = List.copyOf(services);
        routes = routes.stream().sorted(MOST_SPECIFIC_FIRST).toList();
        objectives = List.copyOf(objectives);
    }

    /**
     * Finds the limits of a service.
     *
     * @param name the service; not null
     * @return the limits, or empty if the template does not contain the service
     */
    public Optional<ServiceRule> service(ServiceName name) {
        return services.stream().filter(rule -> rule.service().equals(name)).findFirst();
    }

    /**
     * Finds the route rule that applies to a call. The longest path prefix has precedence, then a rule for the method
     * over a rule for any method.
     *
     * @param service the service; not null
     * @param method the HTTP method; not null
     * @param path the path after the service name; not null
     * @return the rule, or empty if the template does not contain the service
     */
    public Optional<RouteRule> rule(ServiceName service, String method, String path) {
        return routes.stream()
                .filter(route -> route.service().equals(service) && route.matches(method, path))
                .findFirst();
    }
}
