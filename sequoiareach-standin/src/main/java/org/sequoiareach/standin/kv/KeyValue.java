package org.sequoiareach.standin.kv;

/** Holds one key with its value, its revisions and its lease (0 for none). */
record KeyValue(
    String key, String value, long createRevision, long modRevision, long version, long lease) {}
