package org.sequoianotch.daemon.ledger;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encoding of messages to ledger hosts and of their replies, as an array of the type number and the components.
 *
 * <p>This class is stateless and thread-safe.
 */
final class MessageCodec {
    private static final int CLAIM = 1;
    private static final int RELEASE = 2;
    private static final int MARK_IN_DOUBT = 3;
    private static final int COMPLETE = 4;
    private static final int LOOKUP = 5;
    private static final int STATUS = 6;
    private static final int COPY = 7;
    private static final int PROBE = 8;
    private static final int GRANTED = 1;
    private static final int HELD = 2;
    private static final int REFUSED = 3;
    private static final int DONE = 4;
    private static final int STATUS_REPLY = 5;
    private static final int PAGE = 6;

    private MessageCodec() {}

    static byte[] encode(LedgerMessage message) {
        return LedgerCodec.encode(packer -> {
            switch (message) {
                case LedgerMessage.Claim claim -> {
                    packKeyAndClaimId(packer, CLAIM, 6, claim.key(), claim.claimId());
                    LedgerCodec.packFingerprint(packer, claim.fingerprint());
                    packer.packLong(claim.runMs());
                }
                case LedgerMessage.Release release -> packKeyAndClaimId(
                        packer, RELEASE, 3, release.key(), release.claimId());
                case LedgerMessage.MarkInDoubt markInDoubt -> packKeyAndClaimId(
                        packer, MARK_IN_DOUBT, 3, markInDoubt.key(), markInDoubt.claimId());
                case LedgerMessage.Complete complete -> {
                    packKeyAndClaimId(packer, COMPLETE, 6, complete.key(), complete.claimId());
                    LedgerCodec.packFingerprint(packer, complete.fingerprint());
                    LedgerCodec.packResponse(packer, complete.response());
                }
                case LedgerMessage.Lookup lookup -> {
                    LedgerCodec.packTypeHeader(packer, LOOKUP, 1);
                    packer.packString(lookup.key());
                }
                case LedgerMessage.Probe probe -> {
                    LedgerCodec.packTypeHeader(packer, PROBE, 1);
                    packer.packString(probe.key());
                }
                case LedgerMessage.Status status -> {
                    LedgerCodec.packTypeHeader(packer, STATUS, 1);
                    packer.packString(status.fromAddress());
                }
                case LedgerMessage.Copy copy -> {
                    LedgerCodec.packTypeHeader(packer, COPY, 5);
                    packer.packString(copy.fromAddress()).packLong(copy.epoch());
                    LedgerCodec.packIncarnation(packer, copy.incarnation());
                    packer.packString(copy.afterKey());
                }
            }
        });
    }

    static LedgerMessage decodeMessage(byte[] payload) throws LedgerCodec.MalformedException {
        return LedgerCodec.decode(payload, unpacker -> {
            int size = unpacker.unpackArrayHeader();
            int type = unpacker.unpackInt();
            checkSize(type, size, 0, 7, 4, 4, 7, 2, 2, 6, 2);
            return switch (type) {
                case CLAIM -> new LedgerMessage.Claim(
                        LedgerCodec.unpackText(unpacker),
                        LedgerCodec.unpackClaimId(unpacker),
                        LedgerCodec.unpackFingerprint(unpacker),
                        unpacker.unpackLong());
                case RELEASE -> new LedgerMessage.Release(
                        LedgerCodec.unpackText(unpacker), LedgerCodec.unpackClaimId(unpacker));
                case MARK_IN_DOUBT -> new LedgerMessage.MarkInDoubt(
                        LedgerCodec.unpackText(unpacker), LedgerCodec.unpackClaimId(unpacker));
                case COMPLETE -> new LedgerMessage.Complete(
                        LedgerCodec.unpackText(unpacker),
                        LedgerCodec.unpackClaimId(unpacker),
                        LedgerCodec.unpackFingerprint(unpacker),
                        requirePresent(LedgerCodec.unpackResponse(unpacker), "response"));
                case LOOKUP -> new LedgerMessage.Lookup(LedgerCodec.unpackText(unpacker));
                case STATUS -> new LedgerMessage.Status(LedgerCodec.unpackText(unpacker));
                case PROBE -> new LedgerMessage.Probe(LedgerCodec.unpackText(unpacker));
                default -> new LedgerMessage.Copy(
                        LedgerCodec.unpackText(unpacker),
                        unpacker.unpackLong(),
                        LedgerCodec.unpackIncarnation(unpacker),
                        LedgerCodec.unpackText(unpacker));
            };
        });
    }

    static byte[] encode(LedgerReply reply) {
        return LedgerCodec.encode(packer -> {
            switch (reply) {
                case LedgerReply.Granted granted -> {
                    LedgerCodec.packTypeHeader(packer, GRANTED, 3);
                    LedgerCodec.packIncarnation(packer, granted.incarnation());
                    LedgerCodec.packIncarnations(packer, granted.memberIncarnations());
                }
                case LedgerReply.Held held -> packHeld(packer, held);
                case LedgerReply.Refused refused -> {
                    LedgerCodec.packTypeHeader(packer, REFUSED, 1);
                    packer.packInt(refused.reason().ordinal());
                }
                case LedgerReply.Done done -> LedgerCodec.packTypeHeader(packer, DONE, 0);
                case LedgerReply.Status status -> {
                    LedgerCodec.packTypeHeader(packer, STATUS_REPLY, 5);
                    packer.packLong(status.epoch()).packLong(status.bootId());
                    LedgerCodec.packFormation(packer, status.formation());
                    LedgerCodec.packIncarnation(packer, status.knownIncarnation());
                }
                case LedgerReply.Page page -> packPage(packer, page);
            }
        });
    }

    static LedgerReply decodeReply(byte[] payload) throws LedgerCodec.MalformedException {
        return LedgerCodec.decode(payload, unpacker -> {
            int size = unpacker.unpackArrayHeader();
            int type = unpacker.unpackInt();
            checkSize(type, size, 0, 4, 2, 2, 1, 6, 5);
            return switch (type) {
                case GRANTED -> new LedgerReply.Granted(
                        LedgerCodec.unpackIncarnation(unpacker), LedgerCodec.unpackIncarnations(unpacker));
                case HELD -> unpackHeld(unpacker);
                case REFUSED -> new LedgerReply.Refused(reasonOf(unpacker.unpackInt()));
                case DONE -> new LedgerReply.Done();
                case STATUS_REPLY -> new LedgerReply.Status(
                        unpacker.unpackLong(),
                        unpacker.unpackLong(),
                        LedgerCodec.unpackFormation(unpacker),
                        LedgerCodec.unpackIncarnation(unpacker));
                default -> unpackPage(unpacker);
            };
        });
    }

    private static void packKeyAndClaimId(MessagePacker packer, int type, int components, String key, ClaimId claimId)
            throws IOException {
        LedgerCodec.packTypeHeader(packer, type, components);
        packer.packString(key);
        LedgerCodec.packClaimId(packer, claimId);
    }

    private static void checkSize(int type, int size, int... sizesByType) throws LedgerCodec.MalformedException {
        if (type < 1 || type >= sizesByType.length) {
            throw new LedgerCodec.MalformedException("Unknown message type " + type);
        }
        if (sizesByType[type] != size) {
            throw new LedgerCodec.MalformedException(
                    "A message of type " + type + " has " + size + " elements instead of " + sizesByType[type]);
        }
    }

    private static <T> T requirePresent(@Nullable T value, String name) throws LedgerCodec.MalformedException {
        if (value == null) {
            throw new LedgerCodec.MalformedException("The component \"" + name + "\" is missing");
        }
        return value;
    }

    private static LedgerReply.Reason reasonOf(int ordinal) throws LedgerCodec.MalformedException {
        LedgerReply.Reason[] reasons = LedgerReply.Reason.values();
        if (ordinal < 0 || ordinal >= reasons.length) {
            throw new LedgerCodec.MalformedException("Unknown refusal reason " + ordinal);
        }
        return reasons[ordinal];
    }

    private static void packHeld(MessagePacker packer, LedgerReply.Held held) throws IOException {
        LedgerCodec.packTypeHeader(packer, HELD, 1);
        packer.packArrayHeader(held.holders().size());
        for (LedgerReply.Holder holder : held.holders()) {
            packer.packArrayHeader(6);
            LedgerCodec.packClaimId(packer, holder.claimId());
            LedgerCodec.packFingerprint(packer, holder.fingerprint());
            packer.packBoolean(holder.running());
            LedgerCodec.packResponse(packer, holder.response());
        }
    }

    private static LedgerReply.Held unpackHeld(MessageUnpacker unpacker) throws IOException {
        int count = LedgerCodec.checkCount(unpacker.unpackArrayHeader());
        List<LedgerReply.Holder> holders = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            LedgerCodec.expectArray(unpacker, 6);
            holders.add(new LedgerReply.Holder(
                    LedgerCodec.unpackClaimId(unpacker),
                    LedgerCodec.unpackFingerprint(unpacker),
                    unpacker.unpackBoolean(),
                    LedgerCodec.unpackResponse(unpacker)));
        }
        return new LedgerReply.Held(holders);
    }

    private static void packPage(MessagePacker packer, LedgerReply.Page page) throws IOException {
        LedgerCodec.packTypeHeader(packer, PAGE, 4);
        LedgerCodec.packFormation(packer, page.formation());
        LedgerCodec.packIncarnations(packer, page.memberIncarnations());
        packer.packArrayHeader(page.entries().size());
        for (LedgerReply.Entry entry : page.entries()) {
            packer.packArrayHeader(2).packString(entry.key());
            LedgerCodec.packClaims(packer, entry.claims());
        }
        packer.packBoolean(page.last());
    }

    private static LedgerReply.Page unpackPage(MessageUnpacker unpacker) throws IOException {
        Formation formation = requirePresent(LedgerCodec.unpackFormation(unpacker), "formation");
        Map<String, Incarnation> memberIncarnations = LedgerCodec.unpackIncarnations(unpacker);
        int entryCount = LedgerCodec.checkCount(unpacker.unpackArrayHeader());
        List<LedgerReply.Entry> entries = new ArrayList<>();
        for (int i = 0; i < entryCount; i++) {
            LedgerCodec.expectArray(unpacker, 2);
            entries.add(new LedgerReply.Entry(LedgerCodec.unpackText(unpacker), LedgerCodec.unpackClaims(unpacker)));
        }
        return new LedgerReply.Page(formation, memberIncarnations, entries, unpacker.unpackBoolean());
    }
}
