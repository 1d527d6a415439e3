/** Predicts the cost of a month from the sheets of its days. */
package org.sequoiareach.client.forecast;
