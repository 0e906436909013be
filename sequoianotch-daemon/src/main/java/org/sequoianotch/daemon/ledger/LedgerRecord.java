package org.sequoianotch.daemon.ledger;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** One state change of a ledger host, applied in memory and appended to the claim file. */
sealed interface LedgerRecord {
    /** Sets the claims on a key; an empty list removes the key. */
    record Entry(String key, List<StoredClaim> claims) implements LedgerRecord {
        public Entry {
            claims = List.copyOf(claims);
        }
    }

    /** Marks a claim id as released until the given wall-clock time. */
    record Tombstone(ClaimId claimId, long untilMs) implements LedgerRecord {}

    /** Sets the known incarnation of another member. */
    record MemberIncarnation(String address, Incarnation incarnation) implements LedgerRecord {}

    /** Starts serving in a formation, in the given incarnation. Clears the known incarnations of other members. */
    record Serving(Incarnation incarnation, Formation formation) implements LedgerRecord {}

    /** Encodes a record. */
    static byte[] encode(LedgerRecord ledgerRecord) {
        return LedgerCodec.encode(packer -> {
            switch (ledgerRecord) {
                case Entry claims -> {
                    LedgerCodec.packTypeHeader(packer, 1, 2);
                    packer.packString(claims.key());
                    LedgerCodec.packClaims(packer, claims.claims());
                }
                case Tombstone tombstone -> {
                    LedgerCodec.packTypeHeader(packer, 2, 3);
                    LedgerCodec.packClaimId(packer, tombstone.claimId());
                    packer.packLong(tombstone.untilMs());
                }
                case MemberIncarnation member -> {
                    LedgerCodec.packTypeHeader(packer, 3, 3);
                    packer.packString(member.address());
                    LedgerCodec.packIncarnation(packer, member.incarnation());
                }
                case Serving serving -> {
                    LedgerCodec.packTypeHeader(packer, 4, 3);
                    LedgerCodec.packIncarnation(packer, serving.incarnation());
                    LedgerCodec.packFormation(packer, serving.formation());
                }
            }
        });
    }

    /** Decodes a record. */
    static LedgerRecord decode(byte[] payload) throws LedgerCodec.MalformedException {
        return LedgerCodec.decode(payload, unpacker -> {
            int size = unpacker.unpackArrayHeader();
            int type = unpacker.unpackInt();
            int expected = type == 1 ? 3 : 4;
            if (size != expected) {
                throw new LedgerCodec.MalformedException(
                        "A record of type " + type + " has " + size + " elements instead of " + expected);
            }
            return switch (type) {
                case 1 -> new Entry(LedgerCodec.unpackText(unpacker), LedgerCodec.unpackClaims(unpacker));
                case 2 -> new Tombstone(LedgerCodec.unpackClaimId(unpacker), unpacker.unpackLong());
                case 3 -> new MemberIncarnation(
                        LedgerCodec.unpackText(unpacker), LedgerCodec.unpackIncarnation(unpacker));
                case 4 -> {
                    Incarnation incarnation = LedgerCodec.unpackIncarnation(unpacker);
                    @Nullable Formation formation = LedgerCodec.unpackFormation(unpacker);
                    if (formation == null) {
                        throw new LedgerCodec.MalformedException("A serving record has no formation");
                    }
                    yield new Serving(incarnation, formation);
                }
                default -> throw new LedgerCodec.MalformedException("Unknown record type " + type);
            };
        });
    }
}
