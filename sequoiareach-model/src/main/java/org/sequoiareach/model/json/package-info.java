/** Reads and writes JSON documents and checks them against their published schemas. */
package org.sequoiareach.model.json;
