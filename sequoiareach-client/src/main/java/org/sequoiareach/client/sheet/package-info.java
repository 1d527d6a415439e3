/** Checks, exports, shows and imports sheets. */
package org.sequoiareach.client.sheet;
