package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import java.net.InetSocketAddress;

/** Parses peer addresses such as {@code 10.1.2.3:8082} and {@code [::1]:8082}. */
final class PeerAddress {
    private static final int MAX_PORT = 65_535;

    private PeerAddress() {}

    /** Returns the address, or the reason why the text is not one. */
    static Either<String, InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= MAX_PORT) {
                String host = text.substring(0, colon).replace("[", "").replace("]", "");
                InetSocketAddress address = new InetSocketAddress(host, port);
                return address.isUnresolved()
                        ? Either.left("\"" + text + "\" does not resolve to an IP address")
                        : Either.right(address);
            }
        } catch (NumberFormatException e) {
            // Falls through to the common error below.
        }
        return Either.left("\"" + text + "\" is not an IP address and a port, such as 127.0.0.1:8082");
    }
}
