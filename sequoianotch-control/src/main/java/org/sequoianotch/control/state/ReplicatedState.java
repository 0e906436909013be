package org.sequoianotch.control.state;

import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;
import org.sequoianotch.control.group.StateMachine;
import org.sequoianotch.control.log.EntryKind;

/**
 * All state that the control group replicates: the templates and the departures of instances.
 *
 * <p>This class is not thread-safe.
 */
public final class ReplicatedState implements StateMachine {
    private static final int FORMAT_VERSION = 3;
    private static final byte[] NO_RESULT = new byte[0];

    private final TemplateState templates;
    private final DepartureRecords departures = new DepartureRecords();

    /**
     * Creates an empty state.
     *
     * @param templates the empty state of the templates; not null
     */
    public ReplicatedState(TemplateState templates) {
        this.templates = templates;
    }

    /**
     * Returns the state of the templates.
     *
     * @return the templates, never null
     */
    public TemplateState templates() {
        return templates;
    }

    /**
     * Returns the departures of instances.
     *
     * @return the departures, never null
     */
    public DepartureRecords departures() {
        return departures;
    }

    @Override
    public byte[] apply(EntryKind kind, byte[] data) {
        return switch (kind) {
            case CHANGE -> templates.apply(data);
            case DEPARTURE -> {
                departures.apply(data);
                yield NO_RESULT;
            }
            case NO_OP, MEMBERS -> throw new IllegalArgumentException(
                    "an entry of kind " + kind + " does not change the replicated state");
        };
    }

    @Override
    public byte[] snapshot() {
        Encoder encoder = new Encoder().number(FORMAT_VERSION).bytes(templates.snapshot());
        departures.encode(encoder);
        return encoder.toBytes();
    }

    @Override
    public void restore(byte[] snapshot) {
        departures.clear();
        if (snapshot.length == 0 || new Decoder(snapshot).number() != FORMAT_VERSION) {
            // Earlier versions have no departures; the templates check the version of their own format.
            templates.restore(snapshot);
            return;
        }
        Decoder decoder = new Decoder(snapshot);
        decoder.number();
        templates.restore(decoder.bytes());
        departures.restore(decoder);
    }
}
