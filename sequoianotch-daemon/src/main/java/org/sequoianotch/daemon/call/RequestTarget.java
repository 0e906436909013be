package org.sequoianotch.daemon.call;

import io.vavr.control.Either;
import java.util.Objects;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.ServiceName;

/**
 * The parts of a request target of the form {@code /{service}/{path}}.
 *
 * @param service the service; not null
 * @param path path and query after the service name, starting with a slash; not null
 */
record RequestTarget(ServiceName service, String path) {
    RequestTarget {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(path, "path");
    }

    static Either<Failure, RequestTarget> parse(String uri) {
        if (!uri.startsWith("/")) {
            return malformed(uri);
        }
        int end = uri.indexOf('/', 1);
        int query = uri.indexOf('?');
        int nameEnd = end < 0 || query >= 0 && query < end ? query : end;
        String name = nameEnd < 0 ? uri.substring(1) : uri.substring(1, nameEnd);
        String rest = nameEnd < 0 ? "/" : uri.substring(nameEnd);
        String path = rest.startsWith("/") ? rest : "/" + rest;
        try {
            return Either.right(new RequestTarget(ServiceName.of(name), path));
        } catch (IllegalArgumentException e) {
            return malformed(uri);
        }
    }

    private static Either<Failure, RequestTarget> malformed(String uri) {
        String shown = uri.length() > 80 ? uri.substring(0, 80) + "..." : uri;
        return Either.left(
                Failure.of(ErrorKind.BAD_REQUEST, "The target \"" + shown + "\" is not of the form /service/path."));
    }

    /** Returns the path without its query, for the match with route rules. */
    String pathWithoutQuery() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }
}
