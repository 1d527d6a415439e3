package org.sequoiareach.standin.kv;

/** Holds one key with its value, revisions, version and lease id (0 for none). */
record KeyValue(
    String key, String value, long createRevision, long modRevision, long version, long lease) {}
