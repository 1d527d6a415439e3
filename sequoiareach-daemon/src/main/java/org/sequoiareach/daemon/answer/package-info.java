/** Defines the parts of requests and answers that pass between callers and targets. */
package org.sequoiareach.daemon.answer;
