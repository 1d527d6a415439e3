/** HTTP calls with a deadline, a bounded response size and no implicit retries. */
package org.sequoiareach.store.http;
