/** Watches of all keys under a prefix, in a store with revisions and a bounded history. */
package org.sequoiareach.store.prefix;
