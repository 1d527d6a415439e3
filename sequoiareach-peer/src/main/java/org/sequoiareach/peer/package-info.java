package org.sequoiareach.peer;
