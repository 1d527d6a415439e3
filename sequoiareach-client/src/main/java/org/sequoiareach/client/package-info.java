package org.sequoiareach.client;
