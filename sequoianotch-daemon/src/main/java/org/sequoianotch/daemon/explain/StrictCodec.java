package org.sequoianotch.daemon.explain;

import io.vavr.control.Either;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;

/**
 * Encodes and decodes the queries that nodes exchange on behalf of operators, and the responses to them.
 *
 * <p>A value is a MessagePack array of its components. Decoding rejects a wrong type, a wrong length and trailing
 * bytes.
 *
 * <p>This class is stateless.
 */
public final class StrictCodec {
    private StrictCodec() {}

    /** Packs one value. */
    @FunctionalInterface
    public interface ValuePacker {
        /**
         * Packs the value.
         *
         * @param packer receives the value; not null
         * @throws IOException if the packer fails, which does not happen when packing into memory
         */
        void pack(MessagePacker packer) throws IOException;
    }

    /**
     * Unpacks one value.
     *
     * @param <T> type of the value
     */
    @FunctionalInterface
    public interface ValueUnpacker<T> {
        /**
         * Unpacks the value.
         *
         * @param unpacker supplies the value; not null
         * @return the value, never null
         * @throws IOException if the value is malformed
         */
        T unpack(MessageUnpacker unpacker) throws IOException;
    }

    /**
     * Encodes a value.
     *
     * @param valuePacker packs the value; not null
     * @return the payload, never null
     */
    public static byte[] encode(ValuePacker valuePacker) {
        try (var packer = MessagePack.newDefaultBufferPacker()) {
            valuePacker.pack(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("Packing into memory cannot fail", e);
        }
    }

    /**
     * Decodes a value.
     *
     * @param payload the payload; not null
     * @param valueUnpacker unpacks the value; not null
     * @param <T> type of the value
     * @return the value, or the failure if the payload is malformed
     */
    public static <T> Either<Failure, T> decode(byte[] payload, ValueUnpacker<T> valueUnpacker) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
            T value = valueUnpacker.unpack(unpacker);
            if (unpacker.hasNext()) {
                return malformed("the value is followed by further bytes");
            }
            return Either.right(value);
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            return malformed(String.valueOf(e.getMessage()));
        }
    }

    private static <T> Either<Failure, T> malformed(String reason) {
        return Either.left(Failure.of(ErrorKind.BAD_REQUEST, "The payload is malformed: " + reason + "."));
    }

    /**
     * Reads an array header and checks its length.
     *
     * @param unpacker supplies the header; not null
     * @param components the expected number of elements
     * @throws IOException if the array has another length
     */
    public static void expectArrayLength(MessageUnpacker unpacker, int components) throws IOException {
        int found = unpacker.unpackArrayHeader();
        if (found != components) {
            throw new IOException("an array has " + found + " elements instead of " + components);
        }
    }

    /**
     * Reads the header of a list.
     *
     * @param unpacker supplies the header; not null
     * @param max largest number of elements accepted
     * @return the number of elements
     * @throws IOException if the list has more elements
     */
    public static int unpackListSize(MessageUnpacker unpacker, int max) throws IOException {
        int found = unpacker.unpackArrayHeader();
        if (found > max) {
            throw new IOException("a list has " + found + " elements, more than the limit of " + max);
        }
        return found;
    }

    /**
     * Reads a number and checks that it is not negative.
     *
     * @param unpacker supplies the number; not null
     * @return the number
     * @throws IOException if the number is negative
     */
    public static long unpackNonNegative(MessageUnpacker unpacker) throws IOException {
        long found = unpacker.unpackLong();
        if (found < 0) {
            throw new IOException("expected a number that is not negative, but got " + found);
        }
        return found;
    }

    /**
     * Reads an enum constant, which is encoded as its ordinal.
     *
     * @param unpacker supplies the ordinal; not null
     * @param constants the constants in the order of their ordinals; not null
     * @param <E> type of the enum
     * @return the constant, never null
     * @throws IOException if no constant has this ordinal
     */
    public static <E extends Enum<E>> E unpackEnum(MessageUnpacker unpacker, E[] constants) throws IOException {
        int ordinal = unpacker.unpackInt();
        if (ordinal < 0 || ordinal >= constants.length) {
            throw new IOException("expected an ordinal from 0 to " + (constants.length - 1) + ", but got " + ordinal);
        }
        return constants[ordinal];
    }
}
