/** The content of requests and answers that is passed between callers and targets. */
package org.sequoiareach.daemon.answer;
