package org.sequoiareach.store.vm;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.store.http.HttpAnswer;
import org.sequoiareach.store.http.HttpCaller;
import reactor.netty.http.client.HttpClient;

/**
 * Reads the list of VMs over HTTP. Thread-safe.
 *
 * <p>Each read goes to one address; after a failure later reads go to the next one.
 */
public final class HttpVmList implements VmList {

  /** The longest list read; 16,000 VMs take about 3 MB. */
  private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

  private final List<String> addresses;
  private final HttpCaller caller;
  private final AtomicInteger current = new AtomicInteger();

  /**
   * Creates a reader.
   *
   * @param addresses IP numbers and ports of the list, at least one
   * @param http the client whose connections and threads are used
   */
  public HttpVmList(List<String> addresses, HttpClient http) {
    Check.isTrue(!addresses.isEmpty(), "'addresses' must hold at least one address.");
    this.addresses = List.copyOf(addresses);
    this.caller = new HttpCaller(http, MAX_ANSWER_BYTES);
  }

  @Override
  public CompletableFuture<List<VmEntry>> read(long deadlineMs) {
    int index = current.get();
    String address = addresses.get(index);
    return caller
        .get(address, "/vms", deadlineMs)
        .map(answer -> parse(answer, address))
        .doOnError(e -> current.compareAndSet(index, (index + 1) % addresses.size()))
        .onErrorMap(e -> !(e instanceof VmListException), e -> failure(address, e))
        .toFuture();
  }

  private static List<VmEntry> parse(HttpAnswer answer, String address) {
    if (!answer.isOk()) {
      throw new VmListException(
          "The list of VMs at " + address + " answered " + answer.status() + ".", null);
    }
    try {
      Answer read = Json.mapper().readValue(answer.body(), Answer.class);
      // An answer without the field is not an empty list: nothing may be concluded from it.
      return List.copyOf(Check.notNull(read, "answer").vms());
    } catch (JsonProcessingException | IllegalArgumentException | NullPointerException e) {
      throw failure(address, e);
    }
  }

  private static VmListException failure(String address, Throwable cause) {
    return new VmListException(
        "The list of VMs at " + address + " is not readable: " + cause.getMessage(), cause);
  }

  private record Answer(List<VmEntry> vms) {}
}
