package org.sequoianotch.control.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;
import org.sequoianotch.control.state.ChangeResult.Accepted;
import org.sequoianotch.control.state.ChangeResult.Refused;
import org.sequoianotch.model.OrganisationName;

/**
 * Replicated state: the templates of all organisations, their revision, the audit records and the results by change id.
 *
 * <p>The state depends on the applied entries only, so that it is the same, byte for byte, on every member. Applying an
 * entry does not parse the template, because the parser may differ between versions of the program; instead
 * {@link #check} validates a change at the leader before it is proposed.
 *
 * <p>This class is not thread-safe.
 */
public final class TemplateState {
    /** Maximum total size of the template texts, so that a response with all of them fits into a frame of 256 KiB. */
    static final int MAX_TEXT_BYTES = 192 * 1024;

    private static final int FORMAT_VERSION = 2;
    private static final int MAX_RECORDED_RESULTS = 12_000;
    private static final int MAX_AUDIT_RECORDS = 12_000;
    /** Maximum total size of the texts in audit records, about one day of changes of 4 KiB each. */
    private static final long MAX_AUDIT_TEXT_CHARS = 4L * 1024 * 1024;

    private static final int MAX_DIFF_LINES = 40;
    private static final int MAX_DIFF_LINE_CHARS = 160;

    private record RecordedResult(String fingerprint, byte[] result) {}

    private final ConfigurationCheck check;
    private long revision;
    private final SortedMap<OrganisationName, String> texts = new TreeMap<>();
    private final LinkedHashMap<String, RecordedResult> history = new LinkedHashMap<>();
    private final ArrayDeque<AuditRecord> audit = new ArrayDeque<>();
    private long auditTextChars;

    /** Creates an empty state that validates protection templates. */
    public TemplateState() {
        this(ConfigurationCheck.TEMPLATES);
    }

    /**
     * Creates an empty state.
     *
     * @param check validates changes; not null
     */
    public TemplateState(ConfigurationCheck check) {
        this.check = Objects.requireNonNull(check, "check");
    }

    /**
     * Encodes a change as the data of a log entry.
     *
     * @param request the change; not null
     * @param atMs time of the proposal, in milliseconds since the Unix epoch
     * @return the data of the log entry, never null
     */
    public static byte[] encodeEntry(ChangeRequest request, long atMs) {
        Encoder encoder = new Encoder().number(atMs);
        request.encode(encoder);
        return encoder.toBytes();
    }

    /**
     * Returns the result of a change that needs no log entry, which is a resend or an invalid template.
     *
     * @param request the change; not null
     * @return the result, or empty if the change must be proposed
     */
    public Optional<ChangeResult> check(ChangeRequest request) {
        Optional<ChangeResult> earlier = earlierResult(request);
        if (earlier.isPresent()) {
            return earlier;
        }
        // A change based on another revision is refused as stale when applied; checking it against the texts in force
        // would make the result depend on the time of the check.
        boolean current = request.expectedRevision() == revision;
        List<String> problems = check.problems(request, current ? texts : Map.of());
        if (problems.isEmpty()) {
            return Optional.empty();
        }
        String detail = problems.size() == 1 ? "There is 1 problem." : "There are " + problems.size() + " problems.";
        return Optional.of(new Refused(ControlError.INVALID_TEMPLATE, revision, detail, problems));
    }

    private Optional<ChangeResult> earlierResult(ChangeRequest request) {
        RecordedResult recorded = history.get(request.changeId());
        if (recorded == null) {
            return Optional.empty();
        }
        if (recorded.fingerprint().equals(request.fingerprint())) {
            return Optional.of(ChangeResult.of(recorded.result()));
        }
        return Optional.of(new Refused(
                ControlError.CHANGE_ID_REUSED, revision, "Use a new change id for each new change.", List.of()));
    }

    /**
     * Applies a committed change.
     *
     * @param data a result of {@link #encodeEntry}; not null
     * @return the encoded {@link ChangeResult}, never null
     */
    public byte[] apply(byte[] data) {
        Decoder decoder = new Decoder(data);
        long atMs = decoder.number();
        ChangeRequest request = ChangeRequest.decode(decoder);
        Optional<ChangeResult> earlier = earlierResult(request);
        if (earlier.isPresent()) {
            return earlier.get().toBytes();
        }
        byte[] result = decide(request, atMs).toBytes();
        history.put(request.changeId(), new RecordedResult(request.fingerprint(), result));
        if (history.size() > MAX_RECORDED_RESULTS) {
            Iterator<String> oldest = history.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return result;
    }

    private ChangeResult decide(ChangeRequest request, long atMs) {
        if (request.expectedRevision() != revision) {
            return refuseStale(request);
        }
        addAuditRecord(new AuditRecord(
                request.changeId(),
                request.operator(),
                atMs,
                revision,
                request.newRevision(),
                request.organisation(),
                ChangeRequest.sha256(request.templateText()),
                request.templateText()));
        revision = request.newRevision();
        texts.put(request.organisation(), request.templateText());
        return new Accepted(revision);
    }

    /**
     * Refuses a change that is based on another revision. The detail and the lines are part of the recorded result, so
     * a version of the program that words them differently would build a different state from the same entries.
     */
    private ChangeResult refuseStale(ChangeRequest request) {
        String current = texts.getOrDefault(request.organisation(), "");
        List<String> lines = LineDiff.between(current, request.templateText(), MAX_DIFF_LINES).stream()
                .map(line -> line.length() <= MAX_DIFF_LINE_CHARS ? line : line.substring(0, MAX_DIFF_LINE_CHARS))
                .toList();
        return new Refused(ControlError.STALE_REVISION, revision, staleDetail(request.expectedRevision()), lines);
    }

    private String staleDetail(long expectedRevision) {
        if (expectedRevision > revision) {
            return "The change expects revision " + expectedRevision + ", but the newest revision is " + revision + ".";
        }
        for (AuditRecord entry : audit) {
            if (entry.fromRevision() == expectedRevision) {
                return "Revision " + expectedRevision + " was replaced by revision " + entry.toRevision()
                        + " by operator " + entry.operator() + " with change " + entry.changeId() + " to organisation "
                        + entry.organisation() + "; the newest revision is " + revision + ".";
            }
        }
        return "Revision " + expectedRevision + " was replaced long ago; the newest revision is " + revision + ".";
    }

    private void addAuditRecord(AuditRecord entry) {
        audit.addLast(entry);
        auditTextChars += entry.text().length();
        while (audit.size() > MAX_AUDIT_RECORDS) {
            auditTextChars -= audit.removeFirst().text().length();
        }
        if (auditTextChars > MAX_AUDIT_TEXT_CHARS) {
            dropOldestTexts();
        }
    }

    private void dropOldestTexts() {
        // Drops half of the texts at once, so that the records are not copied for each change.
        List<AuditRecord> entries = new ArrayList<>(audit);
        audit.clear();
        for (AuditRecord entry : entries) {
            if (auditTextChars > MAX_AUDIT_TEXT_CHARS / 2) {
                auditTextChars -= entry.text().length();
                audit.addLast(entry.withoutText());
            } else {
                audit.addLast(entry);
            }
        }
    }

    /**
     * Returns the templates in force.
     *
     * @return the texts with their revision, never null
     */
    public TemplateTexts texts() {
        return new TemplateTexts(revision, texts);
    }

    /**
     * Returns the current revision.
     *
     * @return the revision, or zero before the first change
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the newest audit records.
     *
     * @param maxRecords maximum number of records; not negative
     * @return the records, newest first, never null
     */
    public List<AuditRecord> audit(int maxRecords) {
        List<AuditRecord> newest = new ArrayList<>();
        Iterator<AuditRecord> entries = audit.descendingIterator();
        while (newest.size() < maxRecords && entries.hasNext()) {
            newest.add(entries.next());
        }
        return List.copyOf(newest);
    }

    /**
     * Encodes the state. Equal states are encoded to equal bytes.
     *
     * @return the encoded state, never null
     */
    public byte[] snapshot() {
        Encoder encoder = new Encoder().number(FORMAT_VERSION);
        texts().encode(encoder);
        encoder.number(history.size());
        for (Map.Entry<String, RecordedResult> entry : history.entrySet()) {
            encoder.text(entry.getKey())
                    .text(entry.getValue().fingerprint())
                    .bytes(entry.getValue().result());
        }
        encoder.number(audit.size());
        audit.forEach(entry -> entry.encode(encoder));
        return encoder.toBytes();
    }

    /**
     * Replaces the state.
     *
     * @param snapshot a result of {@link #snapshot}, or empty for the initial state; not null
     * @throws IllegalArgumentException if the snapshot is malformed
     */
    public void restore(byte[] snapshot) {
        revision = 0;
        texts.clear();
        history.clear();
        audit.clear();
        auditTextChars = 0;
        if (snapshot.length == 0) {
            return;
        }
        Decoder decoder = new Decoder(snapshot);
        long version = decoder.number();
        if (version != FORMAT_VERSION) {
            throw new IllegalArgumentException(
                    "the snapshot has format version " + version + ", expected " + FORMAT_VERSION);
        }
        TemplateTexts restored = TemplateTexts.decode(decoder);
        revision = restored.revision();
        texts.putAll(restored.texts());
        int historyCount = decoder.count();
        for (int i = 0; i < historyCount; i++) {
            history.put(decoder.text(), new RecordedResult(decoder.text(), decoder.bytes()));
        }
        int auditCount = decoder.count();
        for (int i = 0; i < auditCount; i++) {
            AuditRecord entry = AuditRecord.decode(decoder);
            audit.addLast(entry);
            auditTextChars += entry.text().length();
        }
    }
}
