package org.sequoianotch.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.sequoianotch.model.ServiceName;

/**
 * All routes of a deployment at one revision.
 *
 * <p>This type is immutable. Revisions increase, but not necessarily by one.
 */
public final class RouteTable {
    /** The table that is used until one is accepted; it has revision zero and no routes. */
    public static final RouteTable EMPTY = new RouteTable(0, List.of(), List.of(), CallerLimits.DEFAULT);

    private final long revision;
    private final List<Route> routes;
    private final Map<ServiceName, ServiceEndpoint> services;
    private final CallerLimits limits;
    private final Map<String, List<Route>> routesByAuthority;

    private RouteTable(
            long revision, Collection<Route> routes, Collection<ServiceEndpoint> services, CallerLimits limits) {
        this.revision = revision;
        this.routes = List.copyOf(routes);
        this.limits = Objects.requireNonNull(limits, "limits");
        this.services = new TreeMap<>();
        services.forEach(endpoint -> this.services.put(endpoint.service(), endpoint));
        this.routesByAuthority = new HashMap<>();
        for (Route route : this.routes) {
            routesByAuthority
                    .computeIfAbsent(route.authority(), authority -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> -route.pathPrefix().length());
        routesByAuthority.values().forEach(list -> list.sort(longestFirst));
    }

    /**
     * Creates a table.
     *
     * @param revision the revision; not negative
     * @param routes the routes; not null
     * @param services endpoints of all services that are targets of the routes; not null
     * @param limits limits for the requests of callers; not null
     * @return the table, never null
     * @throws IllegalArgumentException if the revision is negative, a target of a route is not among the services, or
     *     two routes have the same authority and prefix
     */
    public static RouteTable of(
            long revision, Collection<Route> routes, Collection<ServiceEndpoint> services, CallerLimits limits) {
        if (revision < 0) {
            throw new IllegalArgumentException("the revision is " + revision + ", but must not be negative");
        }
        RouteTable table = new RouteTable(revision, routes, services, limits);
        for (Route route : table.routes) {
            for (RouteTarget target : route.targets()) {
                if (!table.services.containsKey(target.service())) {
                    throw new IllegalArgumentException("route " + route.name() + " has the target service "
                            + target.service() + ", which the table does not contain");
                }
            }
        }
        table.checkDistinctPrefixes();
        return table;
    }

    private void checkDistinctPrefixes() {
        for (List<Route> sameAuthority : routesByAuthority.values()) {
            Map<String, Route> byPrefix = new HashMap<>();
            for (Route route : sameAuthority) {
                Route other = byPrefix.put(route.pathPrefix(), route);
                if (other != null) {
                    throw new IllegalArgumentException("routes " + other.name() + " and " + route.name()
                            + " have the same authority and path prefix");
                }
            }
        }
    }

    /**
     * Returns the revision.
     *
     * @return the revision; zero for the empty table
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the routes.
     *
     * @return the routes, never null
     */
    public List<Route> routes() {
        return routes;
    }

    /**
     * Returns the limits for the requests of callers.
     *
     * @return the limits, never null
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Finds the endpoint of a service.
     *
     * @param service the service; not null
     * @return the endpoint, or empty if the table does not contain the service
     */
    public Optional<ServiceEndpoint> service(ServiceName service) {
        return Optional.ofNullable(services.get(service));
    }

    /**
     * Finds the route of a request: the route of its authority with the longest matching path prefix.
     *
     * @param authority host name of the request, with or without a port, in upper or lower case; not null
     * @param path path of the request; not null
     * @return the route, or empty if none matches
     */
    public Optional<Route> find(String authority, String path) {
        for (Route route : routesByAuthority.getOrDefault(authorityKey(authority), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the normalised form by which authorities are compared: in lower case and without a port.
     *
     * @param authority host name with or without a port; not null
     * @return the key, never null
     */
    public static String authorityKey(String authority) {
        int colon = authority.lastIndexOf(':');
        String host = colon > 0 && authority.indexOf(']', colon) < 0 ? authority.substring(0, colon) : authority;
        return host.toLowerCase(Locale.ROOT);
    }
}
