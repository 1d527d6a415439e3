/** Takes callers: the OpenAI-compatible completions, the list of models, and the plain services. */
package org.sequoiareach.daemon.caller;
