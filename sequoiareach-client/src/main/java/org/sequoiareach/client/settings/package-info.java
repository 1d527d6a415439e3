/** Settings of the client, read from JSON and validated against a schema. */
package org.sequoiareach.client.settings;
