package org.sequoianotch.daemon.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import org.sequoianotch.error.Failure;

/**
 * Renders failures as {@code application/problem+json}.
 *
 * <p>This class is stateless.
 */
public final class ProblemResponse {
    private static final JsonFactory JSON = new JsonFactory();
    private static final long MS_PER_S = 1_000;

    private ProblemResponse() {}

    /**
     * Creates the response for a failure.
     *
     * @param failure the failure; not null
     * @return the response with status, outcome, error kind, detail and retry delay, never null
     */
    public static BufferedResponse of(Failure failure) {
        BufferedResponse response = BufferedResponse.ofText(
                        failure.kind().status(), "application/problem+json", json(failure))
                .plusHeader("Sequoianotch-Outcome", failure.kind().outcome().headerValue());
        if (failure.retryAfterMs() == 0) {
            return response;
        }
        long seconds = (failure.retryAfterMs() + MS_PER_S - 1) / MS_PER_S;
        return response.plusHeader("Retry-After", Long.toString(seconds));
    }

    private static String json(Failure failure) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("type", "about:blank");
            json.writeStringField("title", failure.kind().title());
            json.writeNumberField("status", failure.kind().status());
            json.writeStringField("kind", failure.kind().code());
            json.writeStringField("outcome", failure.kind().outcome().headerValue());
            json.writeStringField("detail", failure.detail());
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("Writing to memory failed", e);
        }
        return text.toString();
    }
}
