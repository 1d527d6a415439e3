package org.sequoiareach.standin.kv;

/** Represents a change of one key; for a deletion only its key and mod revision are set. */
record KvEvent(boolean deleted, KeyValue entry) {}
