package org.sequoiareach.store.kv;

/** The kinds of call that the key-value service counts against its rate limits. */
public enum KeyValueCall {
  /** A read of one or more keys. */
  READ,
  /** A transaction that may write keys. */
  WRITE,
  /** The grant of a lease. */
  LEASE_GRANT,
  /** The renewal of a lease. */
  LEASE_KEEP_ALIVE,
  /** The revocation of a lease. */
  LEASE_REVOKE,
  /** The start of a watch on a key. */
  WATCH
}
