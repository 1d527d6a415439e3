/**
 * Serves callers: OpenAI-compatible completions, the list of models, and calls to services.
 * Handlers authenticate and validate a request, submit it to the reducer and write its answer.
 */
package org.sequoiareach.daemon.caller;
