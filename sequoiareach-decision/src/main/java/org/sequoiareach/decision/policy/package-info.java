/** Selection of the routing and admission strategies by the policy named in the settings. */
package org.sequoiareach.decision.policy;
