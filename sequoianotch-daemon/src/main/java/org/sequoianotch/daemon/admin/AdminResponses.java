package org.sequoianotch.daemon.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.SortedMap;
import org.sequoianotch.daemon.http.BufferedResponse;
import org.sequoianotch.model.HostId;

/** Builds the HTTP responses of the admin listener. This class is stateless. */
final class AdminResponses {
    static final int OK = 200;
    private static final String JSON = "application/json; charset=utf-8";

    private AdminResponses() {}

    static BufferedResponse json(int status, JsonNode body) {
        return BufferedResponse.ofText(status, JSON, body.toPrettyString() + "\n");
    }

    static BufferedResponse text(String contentType, String body) {
        return BufferedResponse.ofText(OK, contentType, body);
    }

    static BufferedResponse error(AdminError error, String detail) {
        return json(error.status(), errorBody(error.code(), detail));
    }

    static ObjectNode errorBody(String code, String detail) {
        return JsonNodeFactory.instance.objectNode().put("error", code).put("detail", detail);
    }

    static void addNotAnswered(ObjectNode json, SortedMap<HostId, String> failures) {
        ObjectNode node = json.putObject("not_answered");
        failures.forEach((host, reason) -> node.put(host.name(), reason));
    }
}
