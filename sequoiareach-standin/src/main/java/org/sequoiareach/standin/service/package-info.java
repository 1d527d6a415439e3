/** Stands in for a plain service. */
package org.sequoiareach.standin.service;
