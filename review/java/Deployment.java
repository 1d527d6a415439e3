/** The configuration and server entries of a small deployment, in the form of PROTOCOL.md. */
final class Deployment {

  static final String HOST = "mill.example";
  static final String KEY = "k-sawmill";
  static final String TENANT = "sawmill";

  /** The tokens in one event of a stream. */
  static final int STRIDE = 4;

  private Deployment() {}

  /** The routes and limits of the sheet of Astipac Router. */
  static String configuration(long version) {
    return "{\"Version\":"
        + version
        + ",\"Routes\":["
        + route("draft", "streaming", 39_000, 1_800, 1, "engines")
        + ","
        + route("clause", "streaming", 6_000, 1_500, 0, "engines")
        + ","
        + route("booking", "non_idempotent", 800, 121, 2, "desk")
        + ","
        + route("status", "idempotent", 800, 121, 2, "desk")
        + "],\"Services\":[{\"Name\":\"engines\",\"HealthCheckPath\":\"/health\","
        + "\"ConnectionLimit\":232,\"Protocol\":\"h1\",\"TlsEnabled\":false,"
        + "\"InferenceEngine\":{\"Slots\":24,\"KvCacheTokens\":34360,\"KvTokenBytes\":18432,"
        + "\"LinkMbps\":2700.0,\"Moves\":true,\"Backups\":true,\"Stride\":4,\"most\":12,"
        + "\"PinMs\":4000,\"HoldMs\":2000,\"SessionHandleS\":5,\"Models\":[{\"Name\":\"m\"}]}},"
        + "{\"Name\":\"desk\",\"HealthCheckPath\":\"/health\",\"ConnectionLimit\":96,"
        + "\"Protocol\":\"h1\",\"TlsEnabled\":false}],"
        + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
        + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
        + "\"Tenants\":[{\"Name\":\""
        + TENANT
        + "\",\"ApiKeys\":[\""
        + KEY
        + "\"],\"Priority\":1}]}";
  }

  private static String route(
      String name, String kind, long timeoutMs, long latencyMs, int priority, String service) {
    String stream =
        kind.equals("streaming")
            ? ",\"StickySessions\":true,\"StreamResumption\":false,\"TargetGapMs\":180"
            : "";
    int attempts = kind.equals("idempotent") ? 2 : 1;
    return "{\"Name\":\"r-%s\",\"Host\":\"%s\",\"Prefix\":\"/%s/\",\"Kind\":\"%s\","
            .formatted(name, HOST, name, kind)
        + "\"TimeoutMs\":%d,\"TargetLatencyMs\":%d,\"Priority\":%d,\"Service\":\"%s\","
            .formatted(timeoutMs, latencyMs, priority, service)
        + "\"MaxAttempts\":%d,\"Public\":false%s}".formatted(attempts, stream);
  }

  /** The entry of a server that was started a while ago. */
  static String server(String service, String address, int slots, String state, long number) {
    return "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"z1\",\"Version\":\"v1\","
            .formatted(service, address)
        + "\"Slots\":%d,\"State\":\"%s\",\"ColdRemainingMs\":0,\"Stage\":\"combined\","
            .formatted(slots, state)
        + "\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],"
        + "\"SequenceNumber\":%d,\"born\":1700000000000}".formatted(number);
  }
}
