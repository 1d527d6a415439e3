package org.sequoiareach.store.vm;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.store.http.HttpCallResponse;
import org.sequoiareach.store.http.HttpCaller;
import reactor.netty.http.client.HttpClient;

/**
 * {@link VmList} that is read over HTTP. Thread-safe.
 *
 * <p>Each read uses a single address. After a failure, later reads use the next address.
 */
public final class HttpVmList implements VmList {

  /** Maximum size of a response; a list of 16,000 VMs takes about 3 MB. */
  private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

  private final List<String> addresses;
  private final HttpCaller caller;
  private final AtomicInteger addressIndex = new AtomicInteger();

  /**
   * Creates a client.
   *
   * @param addresses IP addresses and ports of the service, at least one
   * @param http the HTTP client, which provides connections and threads
   */
  public HttpVmList(List<String> addresses, HttpClient http) {
    Check.isTrue(!addresses.isEmpty(), "'addresses' must hold at least one address.");
    this.addresses = List.copyOf(addresses);
    this.caller = new HttpCaller(http, MAX_RESPONSE_BYTES);
  }

  @Override
  public CompletableFuture<List<VmEntry>> read(long deadlineMs) {
    int index = addressIndex.get();
    String address = addresses.get(index);
    return caller
        .get(address, "/vms", deadlineMs)
        .map(response -> parse(response, address))
        .doOnError(e -> addressIndex.compareAndSet(index, (index + 1) % addresses.size()))
        .onErrorMap(e -> !(e instanceof VmListException), e -> failure(address, e))
        .toFuture();
  }

  private static List<VmEntry> parse(HttpCallResponse response, String address) {
    if (!response.isOk()) {
      throw new VmListException(
          "The VM list at " + address + " returned status " + response.status(), null);
    }
    try {
      VmListResponse list = Json.mapper().readValue(response.body(), VmListResponse.class);
      // A response without the field must not be mistaken for an empty list.
      return List.copyOf(Check.notNull(list, "answer").vms());
    } catch (JsonProcessingException | IllegalArgumentException | NullPointerException e) {
      throw failure(address, e);
    }
  }

  private static VmListException failure(String address, Throwable cause) {
    return new VmListException(
        "Failed to read the VM list at " + address + ": " + cause.getMessage(), cause);
  }

  private record VmListResponse(List<VmEntry> vms) {}
}
