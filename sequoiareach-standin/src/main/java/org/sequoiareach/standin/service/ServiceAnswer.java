package org.sequoiareach.standin.service;

import com.fasterxml.jackson.annotation.JsonUnwrapped;

/**
 * Is the JSON answer of a plain service: the call that ran and who ran it.
 *
 * @param service the name of the service
 * @param instance the identity of the instance
 * @param call the call, its members written beside the others
 */
public record ServiceAnswer(String service, String instance, @JsonUnwrapped ServiceCall call) {}
