/** Describes what callers ask for and how an attempt to answer them ended. */
package org.sequoiareach.model.request;
