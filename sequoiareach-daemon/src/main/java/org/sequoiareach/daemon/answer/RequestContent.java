package org.sequoiareach.daemon.answer;

import java.util.List;
import org.sequoiareach.peer.Header;

/**
 * The content of a request as it is sent to a target. Routing decisions do not depend on it.
 *
 * @param method the HTTP method
 * @param path the path and query
 * @param headers the headers to forward
 * @param body the body
 */
public record RequestContent(String method, String path, List<Header> headers, byte[] body) {}
