package org.sequoianotch.daemon.ledger;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** One change of a ledger host's state, as it is applied in memory and appended to the claim file. */
sealed interface LedgerRecord {
    /** Sets the claims of a key; none removes the key. */
    record Entry(String key, List<StoredClaim> claims) implements LedgerRecord {
        public Entry {
            claims = List.copyOf(claims);
        }
    }

    /** Remembers a released claim id until the given wall-clock time. */
    record Tombstone(ClaimId claimId, long untilMs) implements LedgerRecord {}

    /** Remembers the life of another member. */
    record MemberLife(String address, Life life) implements LedgerRecord {}

    /** Begins to serve in a formation, with the given life of this host. It clears the lives of other members. */
    record Serving(Life life, Formation formation) implements LedgerRecord {}

    /** Encodes a record. */
    static byte[] encode(LedgerRecord entry) {
        return LedgerCodec.encode(packer -> {
            switch (entry) {
                case Entry claims -> {
                    LedgerCodec.header(packer, 1, 2);
                    packer.packString(claims.key());
                    LedgerCodec.packClaims(packer, claims.claims());
                }
                case Tombstone tombstone -> {
                    LedgerCodec.header(packer, 2, 3);
                    LedgerCodec.packClaimId(packer, tombstone.claimId());
                    packer.packLong(tombstone.untilMs());
                }
                case MemberLife member -> {
                    LedgerCodec.header(packer, 3, 3);
                    packer.packString(member.address());
                    LedgerCodec.packLife(packer, member.life());
                }
                case Serving serving -> {
                    LedgerCodec.header(packer, 4, 3);
                    LedgerCodec.packLife(packer, serving.life());
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
                throw new LedgerCodec.MalformedException("A record of type " + type + " has " + size + " elements");
            }
            return switch (type) {
                case 1 -> new Entry(LedgerCodec.text(unpacker), LedgerCodec.claims(unpacker));
                case 2 -> new Tombstone(LedgerCodec.claimId(unpacker), unpacker.unpackLong());
                case 3 -> new MemberLife(LedgerCodec.text(unpacker), LedgerCodec.life(unpacker));
                case 4 -> {
                    Life life = LedgerCodec.life(unpacker);
                    @Nullable Formation formation = LedgerCodec.formation(unpacker);
                    if (formation == null) {
                        throw new LedgerCodec.MalformedException("A record lacks its formation");
                    }
                    yield new Serving(life, formation);
                }
                default -> throw new LedgerCodec.MalformedException("There is no record of type " + type);
            };
        });
    }
}
