package org.sequoianotch.control.codec;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the values of a message that {@link Encoder} wrote.
 *
 * <p>A decoder is used for one message. Every method throws {@code IllegalArgumentException} if the message is
 * malformed. Lengths are checked against the size of the message before memory is allocated. This class is not
 * thread-safe.
 */
public final class Decoder {
    private final MessageUnpacker unpacker;
    private final int sizeBytes;

    /**
     * Creates a decoder.
     *
     * @param message the encoded message; not null
     */
    public Decoder(byte[] message) {
        this.unpacker = MessagePack.newDefaultUnpacker(message);
        this.sizeBytes = message.length;
    }

    private interface ReadOperation<T> {
        T run() throws IOException;
    }

    private <T> T read(ReadOperation<T> operation) {
        try {
            return operation.run();
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("the message is malformed: " + e.getMessage(), e);
        }
    }

    /**
     * Returns whether the message has further values.
     *
     * @return false at the end of the message
     */
    public boolean hasNext() {
        return read(unpacker::hasNext);
    }

    /**
     * Reads an integer.
     *
     * @return the value
     */
    public long number() {
        return read(unpacker::unpackLong);
    }

    /**
     * Reads the number of elements that follow.
     *
     * @return the number, from zero to the size of the message in bytes
     */
    public int count() {
        return checkLength(number());
    }

    /**
     * Reads a boolean.
     *
     * @return the value
     */
    public boolean flag() {
        return read(unpacker::unpackBoolean);
    }

    /**
     * Reads a string.
     *
     * @return the string, never null
     */
    public String text() {
        return read(() -> new String(
                unpacker.readPayload(checkLength(unpacker.unpackRawStringHeader())), StandardCharsets.UTF_8));
    }

    /**
     * Reads a string that was written with {@link Encoder#compressedText}.
     *
     * @return the string, never null
     */
    public String compressedText() {
        return TextCompression.decompress(bytes());
    }

    /**
     * Reads a byte array.
     *
     * @return the bytes, never null
     */
    public byte[] bytes() {
        return read(() -> unpacker.readPayload(checkLength(unpacker.unpackBinaryHeader())));
    }

    private int checkLength(long length) {
        if (length < 0 || length > sizeBytes) {
            throw new IllegalArgumentException(
                    "the message of " + sizeBytes + " bytes contains an invalid length of " + length);
        }
        return (int) length;
    }
}
