package org.sequoiareach.standin.kv;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tracks leases and the keys attached to them. The caller passes in the current time in
 * milliseconds. Not thread-safe.
 */
final class LeaseTable {

  private static final long MS_PER_SECOND = 1_000;

  private final Map<Long, Lease> leases = new HashMap<>();
  private long lastId = 7_587_800_000_000L;

  long grant(long id, long ttlSeconds, long nowMs) {
    if (ttlSeconds <= 0) {
      throw new KvApiException(KvApiException.Kind.INVALID_ARGUMENT, "too small lease TTL");
    }
    long granted = id == 0 ? ++lastId : id;
    if (leases.containsKey(granted)) {
      throw new KvApiException(KvApiException.Kind.FAILED_PRECONDITION, "lease already exists");
    }
    leases.put(granted, new Lease(ttlSeconds, nowMs + ttlSeconds * MS_PER_SECOND));
    return granted;
  }

  /** Renews a lease and returns its time to live in seconds, or 0 if it does not exist. */
  long keepAlive(long id, long nowMs) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return 0;
    }
    lease.deadlineMs = nowMs + lease.ttlSeconds * MS_PER_SECOND;
    return lease.ttlSeconds;
  }

  /** Removes a lease and returns the keys that were attached to it. */
  Set<String> revoke(long id) {
    return requireFound(id, leases.remove(id)).keys;
  }

  List<Long> expired(long nowMs) {
    return leases.entrySet().stream()
        .filter(entry -> entry.getValue().deadlineMs <= nowMs)
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  void requireExists(long id) {
    requireFound(id, leases.get(id));
  }

  void attach(long id, String key) {
    if (id != 0) {
      requireFound(id, leases.get(id)).keys.add(key);
    }
  }

  void detach(long id, String key) {
    Lease lease = leases.get(id);
    if (lease != null) {
      lease.keys.remove(key);
    }
  }

  int size() {
    return leases.size();
  }

  private static Lease requireFound(long id, Lease lease) {
    if (lease == null && id != 0) {
      throw new KvApiException(KvApiException.Kind.NOT_FOUND, "requested lease not found");
    }
    return lease;
  }

  private static final class Lease {

    private final long ttlSeconds;
    private final NavigableSet<String> keys = new TreeSet<>();
    private long deadlineMs;

    private Lease(long ttlSeconds, long deadlineMs) {
      this.ttlSeconds = ttlSeconds;
      this.deadlineMs = deadlineMs;
    }
  }
}
