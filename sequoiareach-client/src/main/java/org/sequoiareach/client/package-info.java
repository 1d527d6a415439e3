/** Runs the operators' command line {@code sequoiareach}. */
package org.sequoiareach.client;
