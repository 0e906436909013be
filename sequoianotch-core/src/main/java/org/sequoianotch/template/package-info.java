/** Protection templates: what operators decide for each organisation. */
@NullMarked
package org.sequoianotch.template;

import org.jspecify.annotations.NullMarked;
