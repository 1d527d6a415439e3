package org.sequoiareach.daemon.target;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A target that speaks over plain sockets, so that it can break off, answer early or answer more
 * often than it was asked. Each connection is served by a thread of its own.
 */
public final class RawTarget implements AutoCloseable {

  private static final Pattern CONTENT_LENGTH = Pattern.compile("content-length: *(\\d+)");
  private static final String END_OF_HEAD = "\r\n\r\n";

  private final ServerSocket server;
  private final Conversation conversation;

  /**
   * Starts a target on a free port of the loopback address.
   *
   * @param conversation serves each connection, which is closed afterwards
   */
  public RawTarget(Conversation conversation) throws IOException {
    this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    this.conversation = conversation;
    startThread(this::acceptAll);
  }

  /** Serves one connection. */
  @FunctionalInterface
  public interface Conversation {
    /** Serves a connection until it returns or fails. */
    void serve(Socket socket) throws IOException;
  }

  /** Returns the address as host and port. */
  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Reads a request with its body and returns its head, or an empty text at the end of input. */
  public static String readRequest(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith(END_OF_HEAD)) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      bytes.write(next);
    }
    String head = bytes.toString(StandardCharsets.ISO_8859_1);
    Matcher length = CONTENT_LENGTH.matcher(head.toLowerCase(Locale.ROOT));
    if (length.find()) {
      in.readNBytes(Integer.parseInt(length.group(1)));
    }
    return head;
  }

  /** Writes a response with a length. */
  public static void respond(Socket socket, int status, String contentType, String body)
      throws IOException {
    String head =
        "HTTP/1.1 %d Scripted\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
            .formatted(status, contentType, body.length());
    write(socket, head + body);
  }

  /** Writes raw text. */
  public static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Closes a connection by a reset. */
  public static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void acceptAll() throws IOException {
    while (true) {
      Socket socket = server.accept();
      startThread(
          () -> {
            try (socket) {
              conversation.serve(socket);
            }
          });
    }
  }

  private static void startThread(IoTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // Expected: the client or the test has closed the socket.
              }
            },
            "raw-target");
    thread.setDaemon(true);
    thread.start();
  }

  private interface IoTask {
    void run() throws IOException;
  }
}
