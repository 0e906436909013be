package org.sequoianotch.proof.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.proof.load.CallOutcome;

/**
 * Calls and template changes that were sent during a scenario, with their responses.
 *
 * <p>This class is thread-safe.
 */
public final class History {
    private final List<SentCall> calls = new ArrayList<>();
    private final Map<String, List<TemplateChangeResponse>> changeResponses = new HashMap<>();
    private final Map<String, String> texts = new HashMap<>();

    /** Creates an empty history. */
    public History() {}

    /**
     * A call and its result.
     *
     * @param step name of the step that sent the call; not null
     * @param method the HTTP method; not null
     * @param path path and query; not null
     * @param key the idempotency key, or null if it had none
     * @param outcome result of the call; not null
     */
    public record SentCall(String step, String method, String path, @Nullable String key, CallOutcome outcome) {
        /** Checks that the step and the outcome are not null. */
        public SentCall {
            Objects.requireNonNull(step, "step");
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    /**
     * Adds a call.
     *
     * @param call the call; not null
     */
    public synchronized void add(SentCall call) {
        calls.add(call);
    }

    /**
     * Returns all calls.
     *
     * @return a copy, never null
     */
    public synchronized List<SentCall> calls() {
        return List.copyOf(calls);
    }

    /**
     * Returns the calls of one step.
     *
     * @param step name of the step; not null
     * @return a copy, never null
     */
    public synchronized List<SentCall> calls(String step) {
        return calls.stream().filter(call -> call.step().equals(step)).toList();
    }

    synchronized void add(String step, TemplateChangeResponse response) {
        changeResponses.computeIfAbsent(step, name -> new ArrayList<>()).add(response);
    }

    synchronized List<TemplateChangeResponse> changeResponses(String step) {
        return List.copyOf(changeResponses.getOrDefault(step, List.of()));
    }

    synchronized List<TemplateChangeResponse> changeResponses() {
        return changeResponses.values().stream().flatMap(List::stream).toList();
    }

    /** Stores a text that a step has read from a node. */
    synchronized void addText(String step, String text) {
        texts.put(step, text);
    }

    synchronized String text(String step) {
        return texts.getOrDefault(step, "");
    }
}
