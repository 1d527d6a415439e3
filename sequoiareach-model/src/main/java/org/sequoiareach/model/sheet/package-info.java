/**
 * The sheet: the operators' configuration of models, services and organisations, with the access
 * rights, priority, planned volume and limits of each organisation.
 */
package org.sequoiareach.model.sheet;
