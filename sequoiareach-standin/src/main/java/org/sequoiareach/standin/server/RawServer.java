package org.sequoiareach.standin.server;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

/** TCP server that records the bytes of each connection and sends what a test tells it to. */
public final class RawServer implements AutoCloseable {

  private static final long TIMEOUT_MS = 5_000;
  private static final long POLL_MS = 5;

  private final ServerSocket socket;
  private final BlockingQueue<Connection> accepted = new LinkedBlockingQueue<>();
  private final List<Connection> all = new CopyOnWriteArrayList<>();

  /**
   * Starts a server on a free port.
   *
   * @throws IOException if no port is available
   */
  public RawServer() throws IOException {
    socket = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    startThread(this::acceptAll);
  }

  /**
   * Returns the address of this server.
   *
   * @return IP address and port
   */
  public String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /**
   * Waits for the next connection that the test has not received yet.
   *
   * @return the connection
   * @throws InterruptedException if the thread is interrupted
   */
  public Connection accept() throws InterruptedException {
    Connection next = accepted.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    if (next == null) {
      throw new IllegalStateException("no connection within " + TIMEOUT_MS + " ms");
    }
    return next;
  }

  /**
   * Returns all bytes received so far.
   *
   * @return the text of all connections in the order in which they were accepted
   */
  public String received() {
    List<String> texts = new ArrayList<>();
    all.forEach(connection -> texts.add(connection.received()));
    return String.join("", texts);
  }

  /**
   * Frames a part of a body that is sent in chunks.
   *
   * @param part the part, in ISO 8859-1; not empty, as an empty chunk ends a body
   * @return the chunk
   */
  public static String chunk(String part) {
    return Integer.toHexString(part.length()) + "\r\n" + part + "\r\n";
  }

  @Override
  public void close() throws IOException {
    socket.close();
    for (Connection connection : all) {
      connection.socket.close();
    }
  }

  private void acceptAll() {
    try {
      while (!socket.isClosed()) {
        Connection connection = new Connection(socket.accept());
        all.add(connection);
        accepted.add(connection);
        startThread(connection::readAll);
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "raw-server");
    thread.setDaemon(true);
    thread.start();
  }

  /** A connection that the server has accepted. */
  public static final class Connection {

    private final Socket socket;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private volatile boolean ended;

    private Connection(Socket socket) {
      this.socket = socket;
    }

    /**
     * Sends bytes in one segment.
     *
     * @param text the bytes in ISO 8859-1
     */
    public void send(String text) {
      try {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /**
     * Sends bytes again and again until the client closes the connection or a time has passed.
     *
     * @param text the bytes in ISO 8859-1
     * @param periodMs the time between two sends, in milliseconds; 0 to send without a pause
     * @param maxMs the maximum time, in milliseconds
     * @return how long the client accepted the bytes, in milliseconds
     * @throws InterruptedException if the thread is interrupted
     */
    public long sendUntilClosed(String text, long periodMs, long maxMs)
        throws InterruptedException {
      long startNanos = System.nanoTime();
      CompletableFuture<Void> closed =
          CompletableFuture.runAsync(() -> sendRepeatedly(text, periodMs));
      try {
        closed.get(maxMs, TimeUnit.MILLISECONDS);
      } catch (TimeoutException | ExecutionException e) {
        close();
      }
      return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private void sendRepeatedly(String text, long periodMs) {
      try {
        while (!socket.isClosed()) {
          send(text);
          TimeUnit.MILLISECONDS.sleep(periodMs);
        }
      } catch (UncheckedIOException e) {
        // The client has closed the connection.
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    /** Closes the connection after the bytes sent. */
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /** Resets the connection. */
    public void reset() {
      try {
        socket.setSoLinger(true, 0);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      close();
    }

    /**
     * Returns the bytes received so far.
     *
     * @return the bytes in ISO 8859-1
     */
    public String received() {
      synchronized (received) {
        return received.toString(StandardCharsets.ISO_8859_1);
      }
    }

    /**
     * Waits until the client has closed the connection.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitClosed() throws InterruptedException {
      await(() -> ended, "the connection is still open");
    }

    /**
     * Waits until the bytes received contain a text.
     *
     * @param text the text
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitReceived(String text) throws InterruptedException {
      await(() -> received().contains(text), "'" + text + "' was not received");
    }

    /**
     * Waits until the bytes received contain a text, or the client has closed the connection.
     *
     * @param text the text
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitReceivedOrClosed(String text) throws InterruptedException {
      await(
          () -> ended || received().contains(text),
          "'" + text + "' was not received and the connection is still open");
    }

    private void readAll() {
      byte[] buffer = new byte[64 << 10];
      try {
        int count = socket.getInputStream().read(buffer);
        while (count >= 0) {
          synchronized (received) {
            received.write(buffer, 0, count);
          }
          count = socket.getInputStream().read(buffer);
        }
      } catch (IOException e) {
        // Reset by the client or closed by the test.
      }
      ended = true;
    }

    private static void await(BooleanSupplier condition, String problem)
        throws InterruptedException {
      long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
      while (!condition.getAsBoolean()) {
        if (System.nanoTime() - deadlineNanos > 0) {
          throw new IllegalStateException(problem + " after " + TIMEOUT_MS + " ms");
        }
        TimeUnit.MILLISECONDS.sleep(POLL_MS);
      }
    }
  }
}
