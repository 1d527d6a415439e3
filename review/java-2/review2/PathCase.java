package review2;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;

/** A client that nobody controls books at a path with letters outside of ASCII. */
final class PathCase implements Main.Case {

  @Override
  public int run(Deployment deployment) throws Exception {
    StringBuilder seen = new StringBuilder();
    Http.Server server =
        new Http.Server(
            (request, out, socket) -> {
              String attempt = request.header("X-Sequoiareach-Attempt-Id");
              deployment.note("run " + attempt + " " + escape(request.startLine));
              seen.append(request.startLine).append('\n');
              Http.write(
                  out,
                  "HTTP/1.1 200 OK\r\nX-Sequoiareach-Attempt-Id: "
                      + attempt
                      + "\r\nX-Sequoiareach-Server-Stamp: i-desk-1.1\r\nKeep-Alive: timeout=15\r\n"
                      + "Content-Length: 2\r\n\r\nok");
              return true;
            });
    deployment.register("i-desk-1", "desk", server.address(), 6, "available", 1);
    deployment.startGateway();
    StringBuilder sent = new StringBuilder();
    // UTF-8 of the town's name, one character for each byte.
    String town = deployment.trouble ? "ca\u00c3\u00b1as" : "ca%C3%B1as";
    int answered = 0;
    try (Socket socket = deployment.connect()) {
      socket.setSoTimeout(3_000);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (int i = 0; i < 5; i++) {
        String head =
            Deployment.head(
                "POST", "/book/" + town + "/" + i + "?yard=" + town, "b" + i, 1_500,
                "Content-Length: 5\r\n");
        String line = head.substring(0, head.indexOf('\r'));
        deployment.note("sent b" + i + " " + escape(line));
        Http.write(socket.getOutputStream(), head + "truck");
        Http.Message response = Http.readResponse(in);
        deployment.note("answer b" + i + " " + response.status());
        if (response.status() == 200) {
          sent.append(line).append('\n');
          answered++;
        }
      }
    } catch (java.io.IOException e) {
      deployment.note("the connection was closed: " + e);
    }
    boolean changed = answered > 0 && !sent.toString().equals(seen.toString());
    return changed ? 1 : answered == 0 && !deployment.trouble ? 2 : 0;
  }

  private static String escape(String text) {
    StringBuilder escaped = new StringBuilder();
    for (char c : text.toCharArray()) {
      escaped.append(c >= ' ' && c < 0x7f ? String.valueOf(c) : String.format("\\x%02x", (int) c));
    }
    return escaped.toString();
  }
}
