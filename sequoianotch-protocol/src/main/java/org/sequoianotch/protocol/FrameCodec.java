package org.sequoianotch.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePackException;

/**
 * Encodes and decodes frames as MessagePack arrays.
 *
 * <p>A frame is one array of its type code and its fields. On a connection, its length precedes it as 4 bytes, big
 * endian. Decoding is strict: a frame is accepted only if every field has the expected type and no byte is missing or
 * left over.
 *
 * <p>This class is stateless and thread-safe.
 */
public final class FrameCodec {
    /** Maximum size of a frame without its length prefix. */
    public static final int MAX_FRAME_BYTES = 256 * 1024;

    /** Size of the length prefix of a frame on a connection. */
    public static final int PREFIX_BYTES = 4;

    /** Maximum size of array header, type code, call id and binary header, which precede the payload of a body part. */
    private static final int MAX_BODY_HEAD_BYTES = 16;

    /** Frames up to this size are copied as a whole before their type is read, which is cheaper than a second copy. */
    private static final int SMALL_FRAME_BYTES = 1_024;

    private FrameCodec() {}

    /**
     * Encodes a frame without its length prefix.
     *
     * @param frame the frame; not null
     * @return the bytes, never null
     * @throws FrameFormatException if the frame is larger than {@link #MAX_FRAME_BYTES}
     */
    public static byte[] encode(Frame frame) throws FrameFormatException {
        return pack(frame, 0);
    }

    /**
     * Encodes a frame with its length prefix.
     *
     * @param frame the frame; not null
     * @return the bytes in a heap buffer, never null
     * @throws FrameFormatException if the frame is larger than {@link #MAX_FRAME_BYTES}
     */
    public static ByteBuf encodeWithPrefix(Frame frame) throws FrameFormatException {
        byte[] bytes = pack(frame, PREFIX_BYTES);
        ByteBuffer.wrap(bytes).putInt(bytes.length - PREFIX_BYTES);
        return Unpooled.wrappedBuffer(bytes);
    }

    /**
     * Encodes a body part with its length prefix, without copying the part.
     *
     * @param callId id of the call; positive
     * @param ofResponse true for {@link Frame.ResponseBody}, false for {@link Frame.Body}
     * @param bytes the array that contains the part; must not be changed afterwards; not null
     * @param offset index of the first byte of the part in the array
     * @param length length of the part in bytes; 1 to {@link Frame#MAX_CHUNK_BYTES}
     * @return a buffer that shares the array, never null
     */
    public static ByteBuf encodeBody(long callId, boolean ofResponse, byte[] bytes, int offset, int length) {
        try (MessageBufferPacker packer = FrameWriter.CONFIG.newBufferPacker()) {
            packer.writePayload(new byte[PREFIX_BYTES]);
            new FrameWriter(packer).writeHead(ofResponse ? FrameType.RESPONSE_BODY : FrameType.BODY);
            packer.packLong(callId).packBinaryHeader(length);
            byte[] head = packer.toByteArray();
            ByteBuffer.wrap(head).putInt(head.length - PREFIX_BYTES + length);
            return Unpooled.wrappedBuffer(Unpooled.wrappedBuffer(head), Unpooled.wrappedBuffer(bytes, offset, length));
        } catch (IOException e) {
            throw new IllegalStateException("Writing to memory failed", e);
        }
    }

    /**
     * Decodes a frame.
     *
     * @param bytes the frame without its length prefix; not null
     * @return the frame, never null
     * @throws FrameFormatException if the bytes are not exactly one valid frame
     */
    public static Frame decode(byte[] bytes) throws FrameFormatException {
        return decode(Unpooled.wrappedBuffer(bytes));
    }

    /**
     * Decodes a frame.
     *
     * @param buffer a buffer whose readable bytes are the frame without its length prefix; it is neither changed
     *     nor released; not null
     * @return the frame, never null
     * @throws FrameFormatException if the readable bytes are not exactly one valid frame
     */
    public static Frame decode(ByteBuf buffer) throws FrameFormatException {
        int length = buffer.readableBytes();
        if (length > MAX_FRAME_BYTES) {
            throw new FrameFormatException(
                    "frame of " + length + " bytes exceeds the maximum of " + MAX_FRAME_BYTES + " bytes");
        }
        try {
            byte[] head = copy(buffer, 0, length <= SMALL_FRAME_BYTES ? length : MAX_BODY_HEAD_BYTES);
            FrameReader headReader = new FrameReader(head, length);
            FrameType type = headReader.readType();
            if (type.isBodyPart()) {
                return decodeBodyPart(type, headReader, buffer);
            }
            FrameReader reader = length == head.length ? headReader : new FrameReader(copy(buffer, 0, length), length);
            if (reader != headReader) {
                reader.readType();
            }
            Frame frame = reader.readFields(type);
            reader.checkEnd();
            return frame;
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new FrameFormatException("frame of " + length + " bytes is malformed: " + describe(e), e);
        }
    }

    /** Decodes a body part; its payload is copied only once, from the network buffer into the array of the frame. */
    private static Frame decodeBodyPart(FrameType type, FrameReader reader, ByteBuf buffer)
            throws IOException, FrameFormatException {
        long callId = reader.readId();
        int length = reader.readBinaryLength();
        if (reader.position() + length != buffer.readableBytes()) {
            throw new FrameFormatException("body part of " + length + " bytes does not end with its frame of "
                    + buffer.readableBytes() + " bytes");
        }
        byte[] bytes = copy(buffer, reader.position(), length);
        return type == FrameType.BODY ? new Frame.Body(callId, bytes) : new Frame.ResponseBody(callId, bytes);
    }

    private static byte[] copy(ByteBuf buffer, int offset, int length) {
        byte[] bytes = new byte[length];
        buffer.getBytes(buffer.readerIndex() + offset, bytes);
        return bytes;
    }

    private static byte[] pack(Frame frame, int prefixBytes) throws FrameFormatException {
        try (MessageBufferPacker packer = FrameWriter.CONFIG.newBufferPacker()) {
            packer.writePayload(new byte[prefixBytes]);
            new FrameWriter(packer).write(frame);
            byte[] bytes = packer.toByteArray();
            if (bytes.length - prefixBytes > MAX_FRAME_BYTES) {
                throw new FrameFormatException("frame " + FrameType.of(frame) + " of " + (bytes.length - prefixBytes)
                        + " bytes exceeds the maximum of " + MAX_FRAME_BYTES + " bytes");
            }
            return bytes;
        } catch (IOException e) {
            throw new IllegalStateException("Writing to memory failed", e);
        }
    }

    private static String describe(Exception e) {
        return e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
    }
}
