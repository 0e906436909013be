package org.sequoianotch.control.codec;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Writes the values of a message in MessagePack format.
 *
 * <p>An encoder is used for one message. This class is not thread-safe.
 */
public final class Encoder {
    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    /** Creates an empty encoder. */
    public Encoder() {}

    private interface WriteOperation {
        void run() throws IOException;
    }

    private Encoder write(WriteOperation operation) {
        try {
            operation.run();
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Writes an integer.
     *
     * @param value the value
     * @return this encoder
     */
    public Encoder number(long value) {
        return write(() -> packer.packLong(value));
    }

    /**
     * Writes a boolean.
     *
     * @param value the value
     * @return this encoder
     */
    public Encoder flag(boolean value) {
        return write(() -> packer.packBoolean(value));
    }

    /**
     * Writes a string.
     *
     * @param value the string; not null
     * @return this encoder
     */
    public Encoder text(String value) {
        return write(() -> packer.packString(value));
    }

    /**
     * Writes a string in compressed form.
     *
     * @param value the string; not null
     * @return this encoder
     */
    public Encoder compressedText(String value) {
        return bytes(TextCompression.compress(value));
    }

    /**
     * Writes a byte array.
     *
     * @param value the bytes; not null
     * @return this encoder
     */
    public Encoder bytes(byte[] value) {
        return write(() -> {
            packer.packBinaryHeader(value.length);
            packer.writePayload(value);
        });
    }

    /**
     * Returns the message.
     *
     * @return the encoded message, never null
     */
    public byte[] toBytes() {
        return packer.toByteArray();
    }
}
