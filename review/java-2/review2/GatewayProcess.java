package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway that is started by the run line of deploy/system.toml. */
final class GatewayProcess {

  private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");

  private final Deployment deployment;
  private final String name;
  private final Path settings;
  private final Path log;
  private final int frontendPort;
  private final int readyPort;
  private Process process;

  GatewayProcess(
      Deployment deployment, Path directory, int number, List<Integer> ports, String seeds)
      throws IOException {
    this.deployment = deployment;
    this.name = "edge-liberia-a-" + number;
    this.settings = directory.resolve(name + ".json");
    this.log = directory.resolve(name + ".log");
    this.frontendPort = ports.get(1);
    this.readyPort = ports.get(2);
    Files.writeString(
        settings,
        Files.readString(root().resolve("deploy/settings.json.template"))
            .replace("{{NodeName|json}}", "\"" + name + "\"")
            .replace("{{Zone|json}}", "\"liberia-a\"")
            .replace("{{ListenAddresses.Frontend|json}}", quote(frontendPort))
            .replace("{{ListenAddresses.Ready|json}}", quote(readyPort))
            .replace("{{ListenAddresses.ControlPlane|json}}", quote(ports.get(0)))
            .replace("{{IpAddress}}:9464", "127.0.0.1:" + ports.get(3))
            .replace("{{SeedNodes|json}}", seeds)
            .replace("{{Platform.Address|json}}", "\"" + deployment.store.address() + "\"")
            .replace("{{Bounds.GracePeriodS|json}}", "8")
            .replace("{{Bounds.RetryBudgetRatio|json}}", "0.2")
            .replace("{{Bounds.RetryWindowS|json}}", "10")
            .replace("{{Bounds.RetryBudgetExtra|json}}", "52")
            .replace("{{Bounds.ConfigPropagationMs|json}}", "2000")
            .replace("{{Bounds.DrainMs|json}}", "2000"));
  }

  private static String quote(int port) {
    return "\"127.0.0.1:" + port + "\"";
  }

  private static Path root() {
    return Path.of(System.getProperty("root"));
  }

  /** Starts the process, again if it has ended, and waits until it is ready. */
  void start() throws Exception {
    Matcher run = RUN_LINE.matcher(Files.readString(root().resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IllegalStateException("deploy/system.toml has no run line");
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    builder.directory(root().toFile());
    builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("SEQUOIAREACH_BOOT", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
    for (int i = 0; i < 200; i++) {
      if (readiness() == 200) {
        deployment.note(name + " is ready, pid " + process.pid());
        return;
      }
      Thread.sleep(100);
    }
    throw new IllegalStateException(name + " did not become ready: " + endOfLog());
  }

  String name() {
    return name;
  }

  Process process() {
    return process;
  }

  /** Opens a connection of a caller; a receive buffer of 0 is the usual one. */
  Socket connect(int receiveBuffer) throws IOException {
    Socket socket = new Socket();
    if (receiveBuffer > 0) {
      socket.setReceiveBufferSize(receiveBuffer);
    }
    socket.connect(new InetSocketAddress("127.0.0.1", frontendPort), 1_000);
    socket.setTcpNoDelay(true);
    return socket;
  }

  /** Asks whether the gateway is ready; returns 0 if it does not answer within a second. */
  int readiness() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", readyPort), 1_000);
      socket.setSoTimeout(1_000);
      Http.write(socket.getOutputStream(), "GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n");
      return Http.readResponse(socket.getInputStream()).status();
    } catch (Exception e) {
      return 0;
    }
  }

  /** Returns the resident memory in megabytes; 0 if the process has ended. */
  long residentMb() {
    try {
      for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
        if (line.startsWith("VmRSS:")) {
          return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1_024;
        }
      }
    } catch (IOException e) {
      return 0;
    }
    return 0;
  }

  /** Notes whether the process has ended by itself; returns whether it has. */
  boolean noteEnd() throws IOException {
    if (process.isAlive()) {
      deployment.note(name + " is running");
      return false;
    }
    deployment.note(name + " has ended with status " + process.exitValue() + ":");
    deployment.note(endOfLog());
    return true;
  }

  private String endOfLog() throws IOException {
    List<String> lines = Files.readAllLines(log);
    return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
  }

  void kill() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }
  }
}
