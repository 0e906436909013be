package org.sequoianotch.control.codec;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against configurations that change, or that exhaust memory, on their way between hosts. */
final class TextPackingTest {
    @ParameterizedTest
    @ValueSource(strings = {"", "a", "Épouvantails de Kerhuel", "{\"routes\":[]}"})
    void textIsTheSameAfterwards(String text) {
        assertThat(TextPacking.unpack(TextPacking.pack(text))).isEqualTo(text);
    }

    /** A configuration of a thousand routes must fit into one frame of 256 KiB. */
    @Test
    void repeatedRoutesTakeLittleRoom() {
        StringBuilder routes = new StringBuilder();
        for (int i = 0; i < 1_000; i++) {
            routes.append("{\"name\":\"r-").append(i).append("\",\"authority\":\"shop.example\",\"timeout_ms\":800},");
        }

        assertThat(TextPacking.pack(routes.toString()).length).isLessThan(64 * 1024);
    }

    @Test
    void cutAndDamagedTextsAreRefused() {
        byte[] packed = TextPacking.pack("a text that is long enough to be compressed, compressed, compressed");
        byte[] damaged = packed.clone();
        damaged[0] = 0;

        assertThrows(
                IllegalArgumentException.class, () -> TextPacking.unpack(Arrays.copyOf(packed, packed.length / 2)));
        assertThrows(IllegalArgumentException.class, () -> TextPacking.unpack(damaged));
    }

    @Test
    void textThatUnpacksToTooMuchIsRefused() {
        byte[] packed = TextPacking.pack("x".repeat(TextPacking.MAX_TEXT_BYTES + 1));

        assertThrows(IllegalArgumentException.class, () -> TextPacking.unpack(packed));
    }
}
