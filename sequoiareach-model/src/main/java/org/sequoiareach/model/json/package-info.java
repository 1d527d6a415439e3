/** JSON mapping, and validation of JSON documents against their schemas. */
package org.sequoiareach.model.json;
