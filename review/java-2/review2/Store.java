package review2;

import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.TreeMap;

/** The reading part of the platform's store: ranges and watches, as PROTOCOL.md has them. */
final class Store {

  private record Item(String key, String value, long revision) {}

  private final Http.Server server;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private long revision = 1;
  private volatile String lostPrefix = "";
  private volatile int lostAnswers;

  Store() throws Exception {
    server = new Http.Server(this::handle);
  }

  String address() {
    return server.address();
  }

  synchronized void put(String key, String value) {
    revision++;
    String encoded =
        value == null
            ? null
            : Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    Item item = new Item(key, encoded, revision);
    history.add(item);
    if (value == null) {
      items.remove(key);
    } else {
      items.put(key, item);
    }
    notifyAll();
  }

  /** Loses the answers to the watches of a prefix from now on; an empty prefix ends that. */
  void loseWatchAnswers(String prefix) {
    lostPrefix = prefix;
  }

  int lostAnswers() {
    return lostAnswers;
  }

  private boolean handle(Http.Message request, OutputStream out, Socket socket) throws Exception {
    String uri = request.uri();
    String prefix = query(uri, "Prefix", "");
    String body;
    if (uri.startsWith("/kv-range")) {
      body = range(prefix);
    } else if (uri.startsWith("/kv-watch")) {
      body = watch(prefix, Long.parseLong(query(uri, "After", "0")), query(uri, "WaitMs", "0"));
      if (!lostPrefix.isEmpty() && prefix.startsWith(lostPrefix)) {
        lostAnswers++;
        // A connection on which an answer is lost returns nothing further.
        Thread.sleep(600_000);
      }
    } else {
      Http.write(out, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    Http.write(
        out,
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 0\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
    return true;
  }

  private synchronized String range(String prefix) {
    List<String> found = new ArrayList<>();
    for (Item item : items.values()) {
      if (item.key.startsWith(prefix)) {
        found.add(json(item));
      }
    }
    String list = String.join(",", found);
    return "{\"Items\":[" + list + "],\"HasMore\":false,\"At\":" + revision + "}";
  }

  private synchronized String watch(String prefix, long after, String waitMs) throws Exception {
    long untilMs = System.nanoTime() / 1_000_000 + Long.parseLong(waitMs);
    while (true) {
      List<String> found = new ArrayList<>();
      for (Item item : history) {
        if (item.revision > after && item.key.startsWith(prefix)) {
          found.add(json(item));
        }
      }
      long leftMs = untilMs - System.nanoTime() / 1_000_000;
      if (!found.isEmpty() || leftMs <= 0) {
        return "{\"events\":[" + String.join(",", found) + "],\"At\":" + revision + "}";
      }
      wait(leftMs);
    }
  }

  private static String json(Item item) {
    String value =
        item.value == null ? "\"Deleted\":true" : "\"Value\":\"" + item.value + "\",\"Lease\":0";
    return "{\"Key\":\"" + item.key + "\",\"Revision\":" + item.revision + "," + value + "}";
  }

  private static String query(String uri, String name, String absent) {
    int start = uri.indexOf('?');
    for (String part : start < 0 ? new String[0] : uri.substring(start + 1).split("&")) {
      if (part.startsWith(name + "=")) {
        return URLDecoder.decode(part.substring(name.length() + 1), StandardCharsets.UTF_8);
      }
    }
    return absent;
  }
}
