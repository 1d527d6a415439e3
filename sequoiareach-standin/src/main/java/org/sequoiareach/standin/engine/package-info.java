/** Stands in for a model engine. */
package org.sequoiareach.standin.engine;
