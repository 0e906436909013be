package org.sequoianotch.daemon.admin;

import io.netty.handler.codec.http.QueryStringDecoder;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.sequoianotch.daemon.http.BufferedResponse;
import org.sequoianotch.daemon.http.HttpExchange;

/** Path and query parameters of an operator's request. This class is immutable. */
final class AdminRequest {
    private final String path;
    private final QueryStringDecoder query;

    private AdminRequest(String path, QueryStringDecoder query) {
        this.path = path;
        this.query = query;
    }

    /** Parses the request target; empty if it is malformed. */
    static Optional<AdminRequest> parse(HttpExchange exchange) {
        try {
            QueryStringDecoder query = new QueryStringDecoder(exchange.uri());
            String path = query.path();
            query.parameters();
            return Optional.of(new AdminRequest(path, query));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    String path() {
        return path;
    }

    /** Returns the part of the path after a prefix that the path starts with. */
    String pathAfter(String prefix) {
        return path.substring(prefix.length());
    }

    Optional<String> parameter(String name) {
        List<String> values = query.parameters().getOrDefault(name, List.of());
        return values.isEmpty() ? Optional.empty() : Optional.of(values.get(0));
    }

    /** Parses an optional parameter with a range of 0 to {@code max}; the left side is the error response. */
    Either<BufferedResponse, OptionalLong> numberParameter(String name, long max) {
        Optional<String> value = parameter(name);
        if (value.isEmpty()) {
            return Either.right(OptionalLong.empty());
        }
        try {
            long number = Long.parseLong(value.get());
            if (number >= 0 && number <= max) {
                return Either.right(OptionalLong.of(number));
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number that is out of range.
        }
        return Either.left(AdminResponses.error(
                AdminError.BAD_REQUEST,
                "The parameter " + name + " must be a whole number from 0 to " + max + ", but is \"" + value.get()
                        + "\"."));
    }
}
