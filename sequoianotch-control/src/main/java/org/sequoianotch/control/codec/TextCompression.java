package org.sequoianotch.control.codec;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Compresses configuration texts, which are repetitive and sent to every node. This class is stateless. */
final class TextCompression {
    /** Maximum size of a decompressed text; a configuration of 10,000 routes has about 3 MB. */
    static final int MAX_TEXT_BYTES = 16 * 1024 * 1024;

    private static final int BUFFER_BYTES = 8_192;

    private TextCompression() {}

    static byte[] compress(String text) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(text.getBytes(StandardCharsets.UTF_8));
            deflater.finish();
            ByteArrayOutputStream compressed = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                compressed.write(buffer, 0, deflater.deflate(buffer));
            }
            return compressed.toByteArray();
        } finally {
            deflater.end();
        }
    }

    static String decompress(byte[] compressed) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            ByteArrayOutputStream text = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && !inflater.finished()) {
                    throw new IllegalArgumentException("the message contains a truncated compressed text");
                }
                text.write(buffer, 0, count);
                if (text.size() > MAX_TEXT_BYTES) {
                    throw new IllegalArgumentException("the message contains a compressed text of more than "
                            + MAX_TEXT_BYTES + " bytes when decompressed");
                }
            }
            return text.toString(StandardCharsets.UTF_8);
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("the message contains a corrupt compressed text", e);
        } finally {
            inflater.end();
        }
    }
}
