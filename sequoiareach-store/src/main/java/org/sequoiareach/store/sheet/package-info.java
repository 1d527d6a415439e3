/** Stores the operators' sheet in the key-value service, by section, in one order of versions. */
package org.sequoiareach.store.sheet;
