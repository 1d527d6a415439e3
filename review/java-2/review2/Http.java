package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A minimal HTTP/1.1 message and a thread-per-connection server on a loopback address. */
final class Http {

  private Http() {}

  /** A request or response head with its body. */
  static final class Message {
    String startLine;
    final List<String[]> headers = new ArrayList<>();
    byte[] body = new byte[0];

    String method() {
      return startLine.split(" ")[0];
    }

    String uri() {
      return startLine.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    String header(String name) {
      for (String[] header : headers) {
        if (header[0].equalsIgnoreCase(name)) {
          return header[1];
        }
      }
      return null;
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  /** Handles one request; returns whether the connection is kept. */
  interface Handler {
    boolean handle(Message request, OutputStream out, Socket socket) throws Exception;
  }

  /** Listens on a free port of 127.0.0.1. */
  static final class Server implements AutoCloseable {
    volatile ServerSocket listener;
    private final Handler handler;
    private int port;

    Server(Handler handler) throws IOException {
      this.handler = handler;
      listen();
    }

    /** Listens, on the same port as before if it did. */
    void listen() throws IOException {
      ServerSocket opened = new ServerSocket();
      opened.setReuseAddress(true);
      opened.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
      port = opened.getLocalPort();
      listener = opened;
      daemon("accept", () -> accept(opened));
    }

    String address() {
      return "127.0.0.1:" + port;
    }

    private void accept(ServerSocket opened) {
      while (!opened.isClosed()) {
        try {
          Socket socket = opened.accept();
          socket.setTcpNoDelay(true);
          daemon("connection", () -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        boolean keep = true;
        while (keep) {
          Message request = readHead(in);
          String length = request.header("Content-Length");
          request.body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
          keep = handler.handle(request, out, socket);
          out.flush();
        }
      } catch (Exception e) {
        // The other side has closed the connection, or the handler ends it so.
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  static Thread daemon(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, 256 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static Message readHead(InputStream in) throws IOException {
    Message message = new Message();
    message.startLine = readLine(in);
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      message.headers.add(
          new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
    }
    return message;
  }

  /** Reads a response with its body; throws an exception if it is incomplete. */
  static Message readResponse(InputStream in) throws IOException {
    Message response = readHead(in);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if ("chunked".equalsIgnoreCase(response.header("Transfer-Encoding"))) {
      for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
        byte[] part = in.readNBytes(size);
        body.write(part);
        if (part.length < size) {
          throw new EOFException("inside a chunk");
        }
        readLine(in);
      }
      readLine(in);
    } else {
      int length = Integer.parseInt(response.header("Content-Length"));
      body.write(in.readNBytes(length));
      if (body.size() < length) {
        throw new EOFException("inside a body");
      }
    }
    response.body = body.toByteArray();
    return response;
  }

  private static int chunkSize(InputStream in) throws IOException {
    return Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException("the connection ended after " + line.size() + " bytes of a line");
      }
      line.write(next);
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
