/** Route tables: which requests go to which services, and how they may be handled. */
@org.jspecify.annotations.NullMarked
package org.sequoianotch.route;
