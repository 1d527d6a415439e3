/** Import of plan CSV files as sheets. */
package org.sequoiareach.client.plan;
