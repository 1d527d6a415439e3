/** Reads the planners' CSV file and turns it into a sheet. */
package org.sequoiareach.client.plan;
