package org.sequoiareach.standin;
