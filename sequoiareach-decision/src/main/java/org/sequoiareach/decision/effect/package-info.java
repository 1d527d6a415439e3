/** Defines what the reducer asks its host to do, one record each. */
package org.sequoiareach.decision.effect;
