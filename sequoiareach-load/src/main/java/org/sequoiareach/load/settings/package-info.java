/** Settings of load runs and policy comparisons, read from JSON and validated against a schema. */
package org.sequoiareach.load.settings;
