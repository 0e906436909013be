/** The settings of a node: definitions, the INI reader and the checked result. */
@NullMarked
package org.sequoianotch.settings;

import org.jspecify.annotations.NullMarked;
