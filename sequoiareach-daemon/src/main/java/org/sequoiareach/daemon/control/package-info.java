/** Runs the reducer on the one control thread and hands its effects to those who perform them. */
package org.sequoiareach.daemon.control;
