/** Requests of callers, and the outcomes of attempts at them. */
package org.sequoiareach.model.request;
