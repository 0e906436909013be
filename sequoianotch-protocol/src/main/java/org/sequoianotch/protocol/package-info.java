/** Frames of the node-to-node protocol and their MessagePack encoding. */
@NullMarked
package org.sequoianotch.protocol;

import org.jspecify.annotations.NullMarked;
