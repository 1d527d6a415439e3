package org.sequoiareach.daemon.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Is an error that a target answered, kept until it is decided whether another target is tried.
 *
 * @param status its status
 * @param headers its headers
 * @param body its body, owned by the holder
 */
record HeldAnswer(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {}
