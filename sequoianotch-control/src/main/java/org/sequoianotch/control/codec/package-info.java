/** MessagePack encoding of records and messages of the control group. */
@NullMarked
package org.sequoianotch.control.codec;

import org.jspecify.annotations.NullMarked;
