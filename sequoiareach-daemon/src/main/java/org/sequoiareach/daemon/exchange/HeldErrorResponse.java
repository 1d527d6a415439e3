package org.sequoiareach.daemon.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * An error response of a target, held until the reducer decides whether to try another target.
 *
 * @param status the HTTP status
 * @param headers the headers without hop-by-hop headers
 * @param body the complete body; whoever holds this record releases it
 */
record HeldErrorResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {}
