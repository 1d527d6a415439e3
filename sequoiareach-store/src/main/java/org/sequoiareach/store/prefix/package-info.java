/** Follows all keys under a prefix of a store that keeps revisions and a bounded history. */
package org.sequoiareach.store.prefix;
