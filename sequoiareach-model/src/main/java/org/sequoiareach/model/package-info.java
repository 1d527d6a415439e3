/** Data model shared by all modules. This package itself holds the argument checks. */
package org.sequoiareach.model;
