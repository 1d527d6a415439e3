package org.sequoiareach.client.command;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.sequoiareach.client.settings.ClientSettings;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.store.http.HttpCaller;
import org.sequoiareach.store.kv.EtcdKeyValueService;
import org.sequoiareach.store.kv.KeyValueCallListener;
import org.sequoiareach.store.kv.KeyValueException;
import org.sequoiareach.store.sheet.KeyValueSheetStore;
import org.sequoiareach.store.sheet.SheetConflictException;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/** Connections to daemons and the key-value service, with one deadline for the whole command. */
public final class Connections implements AutoCloseable {

  private static final int MAX_CONNECTIONS = 64;
  private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

  private final ClientSettings settings;
  private final ConnectionProvider pool = ConnectionProvider.create("client", MAX_CONNECTIONS);
  private final LoopResources threads = LoopResources.create("client", 1, true);
  private final HttpClient http = HttpClient.create(pool).runOn(threads, false);
  private final long deadlineMs;

  /**
   * Creates the connection pool; connections are opened on demand.
   *
   * @param settings the settings
   */
  public Connections(ClientSettings settings) {
    this.settings = settings;
    this.deadlineMs = MonotonicClock.nowMs() + settings.callTimeoutMs();
  }

  /**
   * Waits for the result of a call to the key-value service.
   *
   * @param call the call
   * @param <T> the type of the result
   * @return the result
   * @throws CommandException if the service cannot be reached or rejects the call
   */
  public static <T> T await(CompletableFuture<T> call) {
    try {
      return call.join();
    } catch (CompletionException e) {
      throw toCommandException(e.getCause());
    }
  }

  /**
   * Returns the deadline of the whole command.
   *
   * @return the deadline in milliseconds on the clock of {@code System.nanoTime()}
   */
  public long deadlineMs() {
    return deadlineMs;
  }

  /**
   * Returns the sheet store.
   *
   * @return the store
   */
  public KeyValueSheetStore sheetStore() {
    return new KeyValueSheetStore(
        new EtcdKeyValueService(
            settings.keyValueService().addresses(), http, KeyValueCallListener.NONE));
  }

  /**
   * Returns an HTTP client for calls to daemons.
   *
   * @return the HTTP client
   */
  public HttpCaller httpCaller() {
    return new HttpCaller(http, MAX_RESPONSE_BYTES);
  }

  @Override
  public void close() {
    pool.dispose();
    threads.disposeLater(Duration.ZERO, CLOSE_TIMEOUT).block(CLOSE_TIMEOUT.multipliedBy(2));
  }

  private static CommandException toCommandException(Throwable cause) {
    if (cause instanceof SheetConflictException conflict) {
      return new CommandException(ExitCode.CONFLICT, conflict.getMessage());
    }
    if (cause instanceof KeyValueException failure) {
      return new CommandException(ExitCode.UNREACHABLE, describe(failure));
    }
    return new CommandException(ExitCode.FAILED, String.valueOf(cause.getMessage()));
  }

  private static String describe(KeyValueException failure) {
    if (failure.verdict() == Verdict.NOT_RUN) {
      return failure.getMessage();
    }
    return failure.getMessage()
        + " The change may have taken effect; check with 'sheet show' once the service responds.";
  }
}
