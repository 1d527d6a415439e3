/** Commands that validate, export and show sheets. */
package org.sequoiareach.client.sheet;
