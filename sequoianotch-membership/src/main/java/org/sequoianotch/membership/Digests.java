package org.sequoianotch.membership;

/** Hashes of the versions of members; equal in all processes. */
final class Digests {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Digests() {}

    /** Hashes what {@link Member#hasUpdateFor} compares, so that equal digests mean that neither side has an update. */
    static long of(Member member) {
        long hash = FNV_OFFSET;
        String host = member.host().name();
        for (int i = 0; i < host.length(); i++) {
            hash = (hash ^ host.charAt(i)) * FNV_PRIME;
        }
        hash = mix(hash ^ member.incarnation());
        hash = mix(hash ^ member.changeNumber());
        return mix(hash ^ member.state().ordinal());
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long value) {
        long mixed = value + 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
