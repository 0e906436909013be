/** Protection templates: the limits, route rules and objectives that operators define for each organisation. */
@NullMarked
package org.sequoianotch.template;

import org.jspecify.annotations.NullMarked;
