/**
 * Connects the reducer with the platform: reads sheets, the VM list and engine loads, and writes
 * budget ledgers and claims of idempotency keys.
 */
package org.sequoiareach.daemon.platform;
