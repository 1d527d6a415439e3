package org.sequoiareach.standin.service;

import com.fasterxml.jackson.annotation.JsonUnwrapped;

/**
 * Represents the JSON response of a simulated service.
 *
 * @param service the name of the service
 * @param instance the identifier of the instance that executed the call
 * @param call the executed call, whose fields are written inline
 */
public record ServiceResponse(String service, String instance, @JsonUnwrapped ServiceCall call) {}
