package org.sequoiareach.daemon;
