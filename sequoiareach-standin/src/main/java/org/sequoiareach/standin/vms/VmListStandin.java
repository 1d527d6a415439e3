package org.sequoiareach.standin.vms;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.reactivestreams.Publisher;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.standin.fault.FaultSwitches;
import org.sequoiareach.standin.server.AbstractHttpStandin;
import org.sequoiareach.standin.server.Exchanges;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Simulates the platform's list of VMs: {@code GET /vms} returns the list with a lag, and {@code
 * PUT /vms/{id}} and {@code DELETE /vms/{id}} change it. Thread-safe.
 */
public final class VmListStandin extends AbstractHttpStandin<VmListFaults> {

  private static final String VM_PATH = "/vms/";

  private final VmListSettings settings;
  private final LongSupplier clock;
  private final LaggedVmList list;
  private final AtomicLong reads = new AtomicLong();
  private volatile long frozenAtMs;

  /**
   * Creates a stand-in without starting it.
   *
   * @param settings the settings
   */
  public VmListStandin(VmListSettings settings) {
    this(settings, () -> System.nanoTime() / 1_000_000);
  }

  VmListStandin(VmListSettings settings, LongSupplier clock) {
    super(settings.listen(), new FaultSwitches<>(VmListFaults.class, VmListFaults.NONE));
    this.settings = settings;
    this.clock = clock;
    this.list = new LaggedVmList(settings.vms());
  }

  /**
   * Adds or replaces an entry, which becomes visible after the lag.
   *
   * @param entry the entry
   */
  public void put(VmEntry entry) {
    list.put(Check.notNull(entry, "entry"), clock.getAsLong());
  }

  /**
   * Removes an entry, which stays visible until the lag has passed.
   *
   * @param id the identifier of the entry
   * @return whether the entry existed
   */
  public boolean remove(String id) {
    return list.remove(id, clock.getAsLong());
  }

  /**
   * Returns the list that {@code GET /vms} currently returns.
   *
   * @return the entries, ordered by identifier
   */
  public List<VmEntry> visible() {
    long lagMs = faults().lagMs().orElse(settings.lagMs());
    long nowMs = faults().frozen() ? frozenAtMs : clock.getAsLong();
    return list.at(nowMs - lagMs);
  }

  @Override
  public VmListRecord record() {
    return new VmListRecord(reads.get(), list.changes(), list.current());
  }

  @Override
  protected void onFaults(VmListFaults switches) {
    frozenAtMs = clock.getAsLong();
  }

  @Override
  protected Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    if (faults().down()) {
      return Exchanges.drop(request);
    }
    String path = request.fullPath();
    String method = request.method().name();
    if (path.equals("/vms") && method.equals("GET")) {
      reads.incrementAndGet();
      return Exchanges.json(response, 200, Map.of("vms", visible()));
    }
    if (!path.startsWith(VM_PATH)) {
      return Exchanges.error(response, 404, "No handler for " + method + " " + path + ".");
    }
    return change(method, path.substring(VM_PATH.length()), request, response);
  }

  private Publisher<Void> change(
      String method, String id, HttpServerRequest request, HttpServerResponse response) {
    return switch (method) {
      case "PUT" ->
          Exchanges.bodyText(request)
              .flatMap(
                  text -> {
                    put(parseEntry(id, text));
                    return Mono.from(response.status(204).send());
                  });
      case "DELETE" -> response.status(remove(id) ? 204 : 404).send();
      default ->
          Exchanges.error(
              response, 405, "Method " + method + " is not allowed; use PUT or DELETE.");
    };
  }

  private static VmEntry parseEntry(String id, String text) {
    try {
      VmEntry entry = Json.mapper().readValue(text, VmEntry.class);
      Check.isTrue(
          entry.id().equals(id),
          "The path names VM '" + id + "', but the entry names VM '" + entry.id() + "'.");
      return entry;
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e.getOriginalMessage(), e);
    }
  }
}
