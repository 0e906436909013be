package org.sequoianotch.control;

import io.vavr.control.Either;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;
import org.sequoianotch.control.group.GroupMessage;
import org.sequoianotch.control.group.Member;
import org.sequoianotch.control.state.ChangeRequest;
import org.sequoianotch.control.state.ControlError;
import org.sequoianotch.control.state.Departure;
import org.sequoianotch.control.state.TemplateTexts;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;

/**
 * A request on the control topic.
 *
 * <p>The response contains either the result or a failure, so that the kind of a failure is the one that the responding
 * host determined.
 */
sealed interface ControlRequest {
    /** Delivers a request of the Raft protocol to one member. */
    record RaftRequest(String targetId, GroupMessage.Request request) implements ControlRequest {}

    /** Queries the identity of a control host and whether it belongs to a group. */
    record Hello() implements ControlRequest {}

    /** Requests admission to the group under a new identity. */
    record Join(String memberId, HostId host, String address) implements ControlRequest {}

    /** Submits a change; a host that does not lead forwards it to the leader only if {@code mayForward} is true. */
    record Change(boolean mayForward, ChangeRequest request) implements ControlRequest {}

    /** Reads the current templates; {@code mayForward} as for {@link Change}. */
    record Read(boolean mayForward) implements ControlRequest {}

    /**
     * Fetches the templates; the responding host holds the request until it has a higher revision than the known one.
     */
    record Fetch(long knownRevision, long waitMs) implements ControlRequest {}

    /** Adds a member; handled by the leader only. */
    record AddMember(HostId host, String address) implements ControlRequest {}

    /** Removes a member; handled by the leader only. */
    record RemoveMember(HostId host) implements ControlRequest {}

    /** Announces that a member stops in an orderly way, and that it has withdrawn from the group in a term. */
    record Leave(String memberId, long term) implements ControlRequest {}

    /**
     * Records that an instance on a host leaves; {@code mayForward} as for {@link Change}.
     *
     * <p>A control host forwards the request of a node to the leader, so that the host is named in it.
     */
    record RecordDeparture(boolean mayForward, HostId host, Departure departure) implements ControlRequest {}

    /** Reads the recorded departures of the instances on a host; {@code mayForward} as for {@link Change}. */
    record ReadDepartures(boolean mayForward, HostId host) implements ControlRequest {}

    /**
     * Response to {@link Hello}.
     *
     * @param member the host's member; not null
     * @param formed whether it belongs to a group
     * @param mayForm whether its data folder is as old as the deployment, so that it would know of a group
     * @param founders the founders that its settings name; not null
     */
    record HelloResponse(Member member, boolean formed, boolean mayForm, String founders) {
        byte[] toBytes() {
            return new Encoder()
                    .text(member.id())
                    .text(member.host().name())
                    .text(member.address())
                    .flag(formed)
                    .flag(mayForm)
                    .text(founders)
                    .toBytes();
        }

        static HelloResponse of(byte[] bytes) {
            Decoder decoder = new Decoder(bytes);
            Member member = new Member(decoder.text(), HostId.of(decoder.text()), decoder.text());
            return new HelloResponse(member, decoder.flag(), decoder.flag(), decoder.text());
        }
    }

    /** Response to {@link Fetch}, with the newest templates of the host if they are newer than the known ones. */
    record FetchResponse(boolean inContact, boolean newer, TemplateTexts texts) {
        byte[] toBytes() {
            Encoder encoder = new Encoder().flag(inContact).flag(newer);
            if (newer) {
                texts.encode(encoder);
            }
            return encoder.toBytes();
        }

        static FetchResponse of(byte[] bytes) {
            Decoder decoder = new Decoder(bytes);
            boolean inContact = decoder.flag();
            boolean newer = decoder.flag();
            return new FetchResponse(inContact, newer, newer ? TemplateTexts.decode(decoder) : TemplateTexts.EMPTY);
        }
    }

    default byte[] toBytes() {
        Encoder encoder = new Encoder();
        switch (this) {
            case RaftRequest r -> r.request.encode(encoder.number(0).text(r.targetId));
            case Hello r -> encoder.number(1);
            case Join r -> encoder.number(2)
                    .text(r.memberId)
                    .text(r.host.name())
                    .text(r.address);
            case Change r -> r.request.encode(encoder.number(3).flag(r.mayForward));
            case Read r -> encoder.number(4).flag(r.mayForward);
            case Fetch r -> encoder.number(5).number(r.knownRevision).number(r.waitMs);
            case AddMember r -> encoder.number(6).text(r.host.name()).text(r.address);
            case RemoveMember r -> encoder.number(7).text(r.host.name());
            case Leave r -> encoder.number(8).text(r.memberId).number(r.term);
            case RecordDeparture r -> r.departure.encode(
                    encoder.number(9).flag(r.mayForward).text(r.host.name()));
            case ReadDepartures r -> encoder.number(10).flag(r.mayForward).text(r.host.name());
        }
        return encoder.toBytes();
    }

    static ControlRequest of(byte[] bytes) {
        Decoder decoder = new Decoder(bytes);
        long type = decoder.number();
        return switch ((int) type) {
            case 0 -> raftRequest(decoder);
            case 1 -> new Hello();
            case 2 -> new Join(decoder.text(), HostId.of(decoder.text()), decoder.text());
            case 3 -> new Change(decoder.flag(), ChangeRequest.decode(decoder));
            case 4 -> new Read(decoder.flag());
            case 5 -> new Fetch(decoder.number(), decoder.number());
            case 6 -> new AddMember(HostId.of(decoder.text()), decoder.text());
            case 7 -> new RemoveMember(HostId.of(decoder.text()));
            case 8 -> new Leave(decoder.text(), decoder.number());
            case 9 -> new RecordDeparture(decoder.flag(), HostId.of(decoder.text()), Departure.decode(decoder));
            case 10 -> new ReadDepartures(decoder.flag(), HostId.of(decoder.text()));
            default -> throw new IllegalArgumentException(
                    "unknown control request type " + type + "; expected 0 to 10");
        };
    }

    private static ControlRequest raftRequest(Decoder decoder) {
        String targetId = decoder.text();
        if (GroupMessage.decode(decoder) instanceof GroupMessage.Request request) {
            return new RaftRequest(targetId, request);
        }
        throw new IllegalArgumentException("the group message is a reply, but a request was expected");
    }

    /** Encodes a result or a failure as a response. */
    static byte[] encodeResponse(Either<Failure, byte[]> result) {
        Encoder encoder = new Encoder().flag(result.isRight());
        if (result.isRight()) {
            return encoder.bytes(result.get()).toBytes();
        }
        Failure failure = result.getLeft();
        return encoder.text(failure.kind().code())
                .text(failure.detail())
                .number(failure.retryAfterMs())
                .toBytes();
    }

    /** Decodes a response; a malformed response leaves the outcome unknown, like a lost one. */
    static Either<Failure, byte[]> decodeResponse(byte[] response) {
        try {
            Decoder decoder = new Decoder(response);
            if (decoder.flag()) {
                return Either.right(decoder.bytes());
            }
            ErrorKind kind = ErrorKind.ofCode(decoder.text()).orElse(ErrorKind.INTERNAL);
            return Either.left(new Failure(kind, decoder.text(), decoder.number()));
        } catch (IllegalArgumentException e) {
            return Either.left(ControlError.ANSWER_LOST.failure("The response is malformed: " + e.getMessage()));
        }
    }
}
