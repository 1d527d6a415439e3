package org.sequoiareach.standin.kv;

/** Is one change of a key; of a deleted one only the key and its last revision are set. */
record KvEvent(boolean deleted, KeyValue entry) {}
