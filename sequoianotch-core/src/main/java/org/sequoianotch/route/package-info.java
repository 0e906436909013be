/** Route tables, which assign requests to services and define how the requests are handled. */
@org.jspecify.annotations.NullMarked
package org.sequoianotch.route;
