package org.sequoiareach.standin.relay;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.reactivestreams.Publisher;
import org.sequoiareach.standin.fault.FaultSwitches;
import org.sequoiareach.standin.server.AbstractHttpStandin;
import org.sequoiareach.standin.server.Exchanges;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Serves the record and the fault switches of a relay on a separate port. */
final class RelayControl extends AbstractHttpStandin<RelayFaults> {

  private final Supplier<RelayRecord> recordSupplier;
  private final Consumer<RelayFaults> faultsListener;

  RelayControl(
      String listen, Supplier<RelayRecord> recordSupplier, Consumer<RelayFaults> faultsListener) {
    super(listen, new FaultSwitches<>(RelayFaults.class, RelayFaults.NONE));
    this.recordSupplier = recordSupplier;
    this.faultsListener = faultsListener;
  }

  @Override
  public RelayRecord record() {
    return recordSupplier.get();
  }

  @Override
  protected void onFaults(RelayFaults switches) {
    faultsListener.accept(switches);
  }

  @Override
  protected Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    return Exchanges.error(
        response, 404, "No handler for " + request.method() + " " + request.fullPath() + ".");
  }
}
