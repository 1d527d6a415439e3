/** Makes single HTTP calls with a deadline, a bounded answer and no hidden retries. */
package org.sequoiareach.store.http;
