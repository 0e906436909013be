package org.sequoianotch.daemon.admin;

import java.util.SortedMap;
import org.sequoianotch.model.HostId;

/**
 * Responses of the nodes to one query, which may be partial.
 *
 * @param byHost the responses by host; not null
 * @param failures the reason by host for each host without a valid response; not null
 * @param <T> type of a response
 */
record NodeResponses<T>(SortedMap<HostId, T> byHost, SortedMap<HostId, String> failures) {}
