/** Resolves the strategies of routing and admission from the name of a policy in the settings. */
package org.sequoiareach.decision.policy;
