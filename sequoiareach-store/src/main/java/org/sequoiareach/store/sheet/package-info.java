/** Storage of the operators' sheet in the key-value service: versioned, one entry per section. */
package org.sequoiareach.store.sheet;
