package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.Frame;
import org.sequoianotch.protocol.FrameFormatException;

/**
 * Handshake in which both sides prove that they hold the deployment key.
 *
 * <p>A proof is an HMAC-SHA-256 of the role, both host ids and both nonces, so that it is not valid on another
 * connection, for another host or in the other direction. The left side of a result is the reason for a refusal.
 */
final class Handshake {
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final String ALGORITHM = "HmacSHA256";

    private enum Role {
        CONNECTING,
        ACCEPTING
    }

    private final FrameChannel channel;
    private final LinkOptions options;
    private final byte[] nonce = new byte[Frame.PROOF_BYTES];

    Handshake(FrameChannel channel, LinkOptions options) {
        this.channel = channel;
        this.options = options;
        RANDOM.nextBytes(nonce);
    }

    /** Runs the connecting side. */
    Either<String, HostId> connect() throws InterruptedException, FrameFormatException {
        channel.send(new Frame.Hello(Frame.VERSION, options.host(), options.dataCentre(), nonce));
        Frame frame = channel.take(options.connectTimeoutMs());
        if (!(frame instanceof Frame.Challenge challenge)) {
            return Either.left(unexpected(frame, "Challenge"));
        }
        if (challenge.version() != Frame.VERSION) {
            return Either.left("it uses protocol version " + challenge.version() + " instead of " + Frame.VERSION);
        }
        byte[] expected = proof(Role.ACCEPTING, options.host(), challenge.host(), nonce, challenge.nonce());
        if (!MessageDigest.isEqual(expected, challenge.proof())) {
            return Either.left("host " + challenge.host() + " does not hold the deployment key");
        }
        channel.send(
                new Frame.Proof(proof(Role.CONNECTING, options.host(), challenge.host(), nonce, challenge.nonce())));
        return Either.right(challenge.host());
    }

    /** Runs the accepting side. */
    Either<String, HostId> accept() throws InterruptedException, FrameFormatException {
        Frame first = channel.take(options.connectTimeoutMs());
        if (!(first instanceof Frame.Hello hello)) {
            return Either.left(unexpected(first, "Hello"));
        }
        if (hello.version() != Frame.VERSION) {
            return Either.left("it uses protocol version " + hello.version() + " instead of " + Frame.VERSION);
        }
        byte[] own = proof(Role.ACCEPTING, hello.host(), options.host(), hello.nonce(), nonce);
        channel.send(new Frame.Challenge(Frame.VERSION, options.host(), options.dataCentre(), nonce, own));
        Frame second = channel.take(options.connectTimeoutMs());
        if (!(second instanceof Frame.Proof proof)) {
            return Either.left(unexpected(second, "Proof"));
        }
        byte[] expected = proof(Role.CONNECTING, hello.host(), options.host(), hello.nonce(), nonce);
        if (!MessageDigest.isEqual(expected, proof.proof())) {
            return Either.left("host " + hello.host() + " does not hold the deployment key");
        }
        return Either.right(hello.host());
    }

    private String unexpected(@Nullable Frame frame, String expected) {
        if (frame != null) {
            return "it sent " + frame.getClass().getSimpleName() + " instead of " + expected;
        }
        return channel.isOpen()
                ? "it sent no " + expected + " within " + options.connectTimeoutMs() + " ms"
                : "the connection ended before its " + expected + ": " + channel.closeReason();
    }

    private byte[] proof(Role role, HostId connecting, HostId accepting, byte[] connectNonce, byte[] acceptNonce) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(options.deploymentKey().getBytes(StandardCharsets.UTF_8), ALGORITHM));
            // Host names contain no line break, so the joined text is unambiguous.
            String text = role + "\n" + connecting + "\n" + accepting + "\n";
            mac.update(text.getBytes(StandardCharsets.UTF_8));
            mac.update(connectNonce);
            mac.update(acceptNonce);
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("HMAC-SHA-256 is not available", e);
        }
    }
}
