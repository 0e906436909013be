package org.sequoianotch.control;

import org.sequoianotch.control.group.StateMachine;
import org.sequoianotch.control.log.EntryKind;
import org.sequoianotch.control.state.ReplicatedState;
import org.sequoianotch.control.state.TemplateState;

/** State machine that publishes each committed revision. Guarded by the lock of the member that applies entries. */
final class PublishingStateMachine implements StateMachine {
    private final ReplicatedState state;
    private final RevisionNotifier revisions;

    PublishingStateMachine(ReplicatedState state, RevisionNotifier revisions) {
        this.state = state;
        this.revisions = revisions;
    }

    @Override
    public byte[] apply(EntryKind kind, byte[] data) {
        byte[] result = state.apply(kind, data);
        TemplateState templates = state.templates();
        if (templates.revision() > revisions.newest().revision()) {
            revisions.publish(templates.texts());
        }
        return result;
    }

    @Override
    public byte[] snapshot() {
        return state.snapshot();
    }

    @Override
    public void restore(byte[] snapshot) {
        state.restore(snapshot);
        revisions.publish(state.templates().texts());
    }
}
