import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's store: reads of a prefix and watches, without faults. */
final class StoreStandin implements AutoCloseable {

  private record Item(String key, String value, long revision) {

    String json() {
      String end = value == null ? "\"Deleted\":true}" : "\"Value\":\"" + value + "\",\"Lease\":0}";
      return "{\"Key\":\"" + key + "\",\"Revision\":" + revision + "," + end;
    }
  }

  private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private long revision = 1;

  StoreStandin() throws IOException {
    Threads.start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Writes a value; the return is the acknowledgement. */
  synchronized void put(String key, String json) {
    revision++;
    String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
    Item item = new Item(key, value, revision);
    items.put(key, item);
    history.add(item);
    notifyAll();
  }

  /** Removes a key. */
  synchronized void delete(String key) {
    revision++;
    items.remove(key);
    history.add(new Item(key, null, revision));
    notifyAll();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  private void accept() throws Exception {
    while (!listener.isClosed()) {
      Socket socket = listener.accept();
      Threads.start(() -> serve(socket));
    }
  }

  private void serve(Socket socket) throws Exception {
    try (socket) {
      InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
      for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
        Http.readBody(head, in);
        String body = answer(head.uri());
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String answer =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + bytes.length
                + "\r\n\r\n";
        OutputStream out = socket.getOutputStream();
        out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
      }
    }
  }

  private String answer(String uri) throws InterruptedException {
    Map<String, String> query = parse(uri);
    String prefix = query.getOrDefault("Prefix", "");
    return uri.startsWith("/kv-watch") ? watch(prefix, query) : range(prefix);
  }

  private synchronized String range(String prefix) {
    List<String> found =
        items.values().stream().filter(i -> i.key.startsWith(prefix)).map(Item::json).toList();
    return "{\"Items\":["
        + String.join(",", found)
        + "],\"HasMore\":false,\"At\":"
        + revision
        + "}";
  }

  private synchronized String watch(String prefix, Map<String, String> query)
      throws InterruptedException {
    long after = Long.parseLong(query.get("After"));
    long untilNs = System.nanoTime() + 1_000_000L * Long.parseLong(query.get("WaitMs"));
    while (true) {
      List<String> events =
          history.stream()
              .filter(i -> i.revision > after && i.key.startsWith(prefix))
              .map(Item::json)
              .toList();
      long leftMs = (untilNs - System.nanoTime()) / 1_000_000;
      if (!events.isEmpty() || leftMs <= 0) {
        return "{\"events\":[" + String.join(",", events) + "],\"At\":" + revision + "}";
      }
      wait(leftMs);
    }
  }

  private static Map<String, String> parse(String uri) {
    Map<String, String> query = new HashMap<>();
    for (String pair : uri.substring(uri.indexOf('?') + 1).split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }
}
