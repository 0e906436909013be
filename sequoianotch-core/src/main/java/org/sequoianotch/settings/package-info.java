/** The settings of a node: their definitions, the INI reader and the checked values. */
@NullMarked
package org.sequoianotch.settings;

import org.jspecify.annotations.NullMarked;
