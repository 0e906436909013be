package org.sequoianotch.daemon.ledger;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encoding of questions to ledger hosts and of their answers: an array of the type number and the components. */
final class MessageCodec {
    private static final int CLAIM = 1;
    private static final int RELEASE = 2;
    private static final int DOUBT = 3;
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
                    key(packer, CLAIM, 6, claim.key(), claim.claimId());
                    LedgerCodec.packFingerprint(packer, claim.fingerprint());
                    packer.packLong(claim.runMs());
                }
                case LedgerMessage.Release release -> key(packer, RELEASE, 3, release.key(), release.claimId());
                case LedgerMessage.Doubt doubt -> key(packer, DOUBT, 3, doubt.key(), doubt.claimId());
                case LedgerMessage.Complete complete -> {
                    key(packer, COMPLETE, 6, complete.key(), complete.claimId());
                    LedgerCodec.packFingerprint(packer, complete.fingerprint());
                    LedgerCodec.packAnswer(packer, complete.answer());
                }
                case LedgerMessage.Lookup lookup -> {
                    LedgerCodec.header(packer, LOOKUP, 1);
                    packer.packString(lookup.key());
                }
                case LedgerMessage.Probe probe -> {
                    LedgerCodec.header(packer, PROBE, 1);
                    packer.packString(probe.key());
                }
                case LedgerMessage.Status status -> {
                    LedgerCodec.header(packer, STATUS, 1);
                    packer.packString(status.fromAddress());
                }
                case LedgerMessage.Copy copy -> {
                    LedgerCodec.header(packer, COPY, 5);
                    packer.packString(copy.fromAddress()).packLong(copy.epoch());
                    LedgerCodec.packLife(packer, copy.life());
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
                        LedgerCodec.text(unpacker),
                        LedgerCodec.claimId(unpacker),
                        LedgerCodec.fingerprint(unpacker),
                        unpacker.unpackLong());
                case RELEASE -> new LedgerMessage.Release(LedgerCodec.text(unpacker), LedgerCodec.claimId(unpacker));
                case DOUBT -> new LedgerMessage.Doubt(LedgerCodec.text(unpacker), LedgerCodec.claimId(unpacker));
                case COMPLETE -> new LedgerMessage.Complete(
                        LedgerCodec.text(unpacker),
                        LedgerCodec.claimId(unpacker),
                        LedgerCodec.fingerprint(unpacker),
                        present(LedgerCodec.answer(unpacker), "answer"));
                case LOOKUP -> new LedgerMessage.Lookup(LedgerCodec.text(unpacker));
                case STATUS -> new LedgerMessage.Status(LedgerCodec.text(unpacker));
                case PROBE -> new LedgerMessage.Probe(LedgerCodec.text(unpacker));
                default -> new LedgerMessage.Copy(
                        LedgerCodec.text(unpacker),
                        unpacker.unpackLong(),
                        LedgerCodec.life(unpacker),
                        LedgerCodec.text(unpacker));
            };
        });
    }

    static byte[] encode(LedgerReply reply) {
        return LedgerCodec.encode(packer -> {
            switch (reply) {
                case LedgerReply.Granted granted -> {
                    LedgerCodec.header(packer, GRANTED, 3);
                    LedgerCodec.packLife(packer, granted.life());
                    LedgerCodec.packLives(packer, granted.lives());
                }
                case LedgerReply.Held held -> packHeld(packer, held);
                case LedgerReply.Refused refused -> {
                    LedgerCodec.header(packer, REFUSED, 1);
                    packer.packInt(refused.reason().ordinal());
                }
                case LedgerReply.Done done -> LedgerCodec.header(packer, DONE, 0);
                case LedgerReply.Status status -> {
                    LedgerCodec.header(packer, STATUS_REPLY, 5);
                    packer.packLong(status.epoch()).packLong(status.boot());
                    LedgerCodec.packFormation(packer, status.formation());
                    LedgerCodec.packLife(packer, status.knownLife());
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
                case GRANTED -> new LedgerReply.Granted(LedgerCodec.life(unpacker), LedgerCodec.lives(unpacker));
                case HELD -> held(unpacker);
                case REFUSED -> new LedgerReply.Refused(reason(unpacker.unpackInt()));
                case DONE -> new LedgerReply.Done();
                case STATUS_REPLY -> new LedgerReply.Status(
                        unpacker.unpackLong(),
                        unpacker.unpackLong(),
                        LedgerCodec.formation(unpacker),
                        LedgerCodec.life(unpacker));
                default -> page(unpacker);
            };
        });
    }

    private static void key(MessagePacker packer, int type, int components, String key, ClaimId claimId)
            throws IOException {
        LedgerCodec.header(packer, type, components);
        packer.packString(key);
        LedgerCodec.packClaimId(packer, claimId);
    }

    private static void checkSize(int type, int size, int... sizes) throws LedgerCodec.MalformedException {
        if (type < 1 || type >= sizes.length || sizes[type] != size) {
            throw new LedgerCodec.MalformedException("There is no type " + type + " with " + size + " elements");
        }
    }

    private static <T> T present(@Nullable T value, String name) throws LedgerCodec.MalformedException {
        if (value == null) {
            throw new LedgerCodec.MalformedException("The component \"" + name + "\" is missing");
        }
        return value;
    }

    private static LedgerReply.Reason reason(int ordinal) throws LedgerCodec.MalformedException {
        LedgerReply.Reason[] reasons = LedgerReply.Reason.values();
        if (ordinal < 0 || ordinal >= reasons.length) {
            throw new LedgerCodec.MalformedException("There is no reason " + ordinal);
        }
        return reasons[ordinal];
    }

    private static void packHeld(MessagePacker packer, LedgerReply.Held held) throws IOException {
        LedgerCodec.header(packer, HELD, 1);
        packer.packArrayHeader(held.holders().size());
        for (LedgerReply.Holder holder : held.holders()) {
            packer.packArrayHeader(6);
            LedgerCodec.packClaimId(packer, holder.claimId());
            LedgerCodec.packFingerprint(packer, holder.fingerprint());
            packer.packBoolean(holder.running());
            LedgerCodec.packAnswer(packer, holder.answer());
        }
    }

    private static LedgerReply.Held held(MessageUnpacker unpacker) throws IOException {
        int count = LedgerCodec.elements(unpacker.unpackArrayHeader());
        List<LedgerReply.Holder> holders = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            LedgerCodec.expect(unpacker, 6);
            holders.add(new LedgerReply.Holder(
                    LedgerCodec.claimId(unpacker),
                    LedgerCodec.fingerprint(unpacker),
                    unpacker.unpackBoolean(),
                    LedgerCodec.answer(unpacker)));
        }
        return new LedgerReply.Held(holders);
    }

    private static void packPage(MessagePacker packer, LedgerReply.Page page) throws IOException {
        LedgerCodec.header(packer, PAGE, 4);
        LedgerCodec.packFormation(packer, page.formation());
        LedgerCodec.packLives(packer, page.lives());
        packer.packArrayHeader(page.entries().size());
        for (LedgerReply.Entry entry : page.entries()) {
            packer.packArrayHeader(2).packString(entry.key());
            LedgerCodec.packClaims(packer, entry.claims());
        }
        packer.packBoolean(page.last());
    }

    private static LedgerReply.Page page(MessageUnpacker unpacker) throws IOException {
        Formation formation = present(LedgerCodec.formation(unpacker), "formation");
        Map<String, Life> lives = LedgerCodec.lives(unpacker);
        int entryCount = LedgerCodec.elements(unpacker.unpackArrayHeader());
        List<LedgerReply.Entry> entries = new ArrayList<>();
        for (int i = 0; i < entryCount; i++) {
            LedgerCodec.expect(unpacker, 2);
            entries.add(new LedgerReply.Entry(LedgerCodec.text(unpacker), LedgerCodec.claims(unpacker)));
        }
        return new LedgerReply.Page(formation, lives, entries, unpacker.unpackBoolean());
    }
}
