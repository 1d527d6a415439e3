/** Serves operators: health, readiness, metrics, status, and explanations of decisions. */
package org.sequoiareach.daemon.operator;
