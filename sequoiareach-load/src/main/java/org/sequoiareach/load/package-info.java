package org.sequoiareach.load;
