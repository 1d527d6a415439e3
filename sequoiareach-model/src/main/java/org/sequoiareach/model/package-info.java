/** Holds the small types that every module shares: identities and argument checks. */
package org.sequoiareach.model;
