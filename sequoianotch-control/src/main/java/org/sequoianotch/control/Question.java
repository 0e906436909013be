package org.sequoianotch.control;

import io.vavr.control.Either;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;
import org.sequoianotch.control.group.GroupMessage;
import org.sequoianotch.control.group.Member;
import org.sequoianotch.control.state.ChangeRequest;
import org.sequoianotch.control.state.ControlError;
import org.sequoianotch.control.state.TemplateTexts;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;

/**
 * A question on the control topic. The answer is an envelope that holds bytes or a failure, so that the kind of a
 * failure is the one that the answering host decided on.
 */
sealed interface Question {
    /** A message of the quorum protocol for one member. */
    record ToMember(String targetId, GroupMessage.Request request) implements Question {}

    /** Asks a control host for its identity and whether it belongs to a group. */
    record Hello() implements Question {}

    /** Asks to be admitted under a new identity. */
    record Join(String memberId, HostId host, String address) implements Question {}

    /** Submits a change; only a question that may be forwarded is passed on to the leader. */
    record Change(boolean mayForward, ChangeRequest request) implements Question {}

    /** Reads the current templates. */
    record Read(boolean mayForward) implements Question {}

    /** Asks for templates of a higher revision and waits for them. */
    record Fetch(long knownRevision, long waitMs) implements Question {}

    /** Asks to add a member; answered by the leader only. */
    record AddMember(HostId host, String address) implements Question {}

    /** Asks to remove a member; answered by the leader only. */
    record RemoveMember(HostId host) implements Question {}

    /** Answer to {@link Hello}. */
    record HelloAnswer(Member member, boolean formed, String hosts) {
        byte[] toBytes() {
            return new Encoder()
                    .text(member.id())
                    .text(member.host().name())
                    .text(member.address())
                    .flag(formed)
                    .text(hosts)
                    .toBytes();
        }

        static HelloAnswer of(byte[] bytes) {
            Decoder decoder = new Decoder(bytes);
            Member member = new Member(decoder.text(), HostId.of(decoder.text()), decoder.text());
            return new HelloAnswer(member, decoder.flag(), decoder.text());
        }
    }

    /** Answer to {@link Fetch}: the newest templates of the host if they are newer than the known ones. */
    record FetchAnswer(boolean inContact, boolean newer, TemplateTexts texts) {
        byte[] toBytes() {
            Encoder encoder = new Encoder().flag(inContact).flag(newer);
            if (newer) {
                texts.encode(encoder);
            }
            return encoder.toBytes();
        }

        static FetchAnswer of(byte[] bytes) {
            Decoder decoder = new Decoder(bytes);
            boolean inContact = decoder.flag();
            boolean newer = decoder.flag();
            return new FetchAnswer(inContact, newer, newer ? TemplateTexts.decode(decoder) : TemplateTexts.EMPTY);
        }
    }

    default byte[] toBytes() {
        Encoder encoder = new Encoder();
        switch (this) {
            case ToMember q -> q.request.encode(encoder.number(0).text(q.targetId));
            case Hello q -> encoder.number(1);
            case Join q -> encoder.number(2)
                    .text(q.memberId)
                    .text(q.host.name())
                    .text(q.address);
            case Change q -> q.request.encode(encoder.number(3).flag(q.mayForward));
            case Read q -> encoder.number(4).flag(q.mayForward);
            case Fetch q -> encoder.number(5).number(q.knownRevision).number(q.waitMs);
            case AddMember q -> encoder.number(6).text(q.host.name()).text(q.address);
            case RemoveMember q -> encoder.number(7).text(q.host.name());
        }
        return encoder.toBytes();
    }

    static Question of(byte[] bytes) {
        Decoder decoder = new Decoder(bytes);
        long type = decoder.number();
        return switch ((int) type) {
            case 0 -> toMember(decoder);
            case 1 -> new Hello();
            case 2 -> new Join(decoder.text(), HostId.of(decoder.text()), decoder.text());
            case 3 -> new Change(decoder.flag(), ChangeRequest.decode(decoder));
            case 4 -> new Read(decoder.flag());
            case 5 -> new Fetch(decoder.number(), decoder.number());
            case 6 -> new AddMember(HostId.of(decoder.text()), decoder.text());
            case 7 -> new RemoveMember(HostId.of(decoder.text()));
            default -> throw new IllegalArgumentException("there is no question of type " + type);
        };
    }

    private static Question toMember(Decoder decoder) {
        String targetId = decoder.text();
        if (GroupMessage.decode(decoder) instanceof GroupMessage.Request request) {
            return new ToMember(targetId, request);
        }
        throw new IllegalArgumentException("the group message is not a question");
    }

    /** Puts an answer or a failure into an envelope. */
    static byte[] envelope(Either<Failure, byte[]> answer) {
        Encoder encoder = new Encoder().flag(answer.isRight());
        if (answer.isRight()) {
            return encoder.bytes(answer.get()).toBytes();
        }
        Failure failure = answer.getLeft();
        return encoder.text(failure.kind().code())
                .text(failure.detail())
                .number(failure.retryAfterMs())
                .toBytes();
    }

    /** Opens an envelope; a malformed one leaves the outcome open, like a lost answer. */
    static Either<Failure, byte[]> open(byte[] envelope) {
        try {
            Decoder decoder = new Decoder(envelope);
            if (decoder.flag()) {
                return Either.right(decoder.bytes());
            }
            ErrorKind kind = ErrorKind.ofCode(decoder.text()).orElse(ErrorKind.INTERNAL);
            return Either.left(new Failure(kind, decoder.text(), decoder.number()));
        } catch (IllegalArgumentException e) {
            return Either.left(ControlError.ANSWER_LOST.failure("The answer is malformed: " + e.getMessage()));
        }
    }
}
