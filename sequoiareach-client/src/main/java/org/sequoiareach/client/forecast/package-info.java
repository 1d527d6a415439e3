/** Forecast of the cost of a month from the sheets in effect on each day. */
package org.sequoiareach.client.forecast;
