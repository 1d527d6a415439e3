package org.sequoiareach.store.kv;

/** Names the calls that the key-value service counts against its rates. */
public enum KeyValueCall {
  /** A read of one or more keys. */
  READ,
  /** A transaction that may write. */
  WRITE,
  /** A grant of a lease. */
  LEASE_GRANT,
  /** A renewal of a lease. */
  LEASE_KEEP_ALIVE,
  /** A revocation of a lease. */
  LEASE_REVOKE,
  /** A waiting watch. */
  WATCH
}
