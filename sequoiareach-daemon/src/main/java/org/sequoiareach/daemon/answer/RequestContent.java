package org.sequoiareach.daemon.answer;

import java.util.List;
import org.sequoiareach.peer.Header;

/**
 * Holds what is sent to a target; decisions never look into it.
 *
 * @param method the HTTP method
 * @param path the path with its query, as sent to the target
 * @param headers the headers to pass on
 * @param body the body
 */
public record RequestContent(String method, String path, List<Header> headers, byte[] body) {}
