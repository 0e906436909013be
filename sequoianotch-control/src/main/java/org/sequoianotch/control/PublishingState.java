package org.sequoianotch.control;

import org.sequoianotch.control.group.StateMachine;
import org.sequoianotch.control.state.TemplateState;

/** Template state that shows each committed revision on a board. Guarded by the lock of the member that applies. */
final class PublishingState implements StateMachine {
    private final TemplateState state;
    private final RevisionBoard board;

    PublishingState(TemplateState state, RevisionBoard board) {
        this.state = state;
        this.board = board;
    }

    @Override
    public byte[] apply(byte[] data) {
        byte[] answer = state.apply(data);
        if (state.revision() > board.newest().revision()) {
            board.publish(state.texts());
        }
        return answer;
    }

    @Override
    public byte[] snapshot() {
        return state.snapshot();
    }

    @Override
    public void restore(byte[] snapshot) {
        state.restore(snapshot);
        board.publish(state.texts());
    }
}
