/** Holds the operators' sheet: who may use what, how much is planned, and at which priority. */
package org.sequoiareach.model.sheet;
