package org.sequoiareach.standin.kv;

import java.util.List;

/** Holds the revision after a transaction and the results of the executed operations. */
record TxnResult(long revision, boolean succeeded, List<OperationResult> results) {}
