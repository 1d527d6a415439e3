package org.sequoiareach.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.client.command.ExitCode;
import org.sequoiareach.standin.kv.KvFaults;
import org.sequoiareach.standin.kv.KvSettings;
import org.sequoiareach.standin.kv.KvStandin;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

class ClientProgramTest {

  private static final Path CONF = Path.of("..", "dist", "conf");
  private static final String SAMPLE = CONF.resolve("sample-sheet.json").toString();

  @TempDir private Path directory;
  private final KvStandin keyValues = new KvStandin(new KvSettings("127.0.0.1:0"));
  private DisposableServer daemon;
  private ClientRunner client;

  @BeforeEach
  void start() {
    InetSocketAddress address = keyValues.start();
    daemon =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .route(
                routes ->
                    routes
                        .get(
                            "/status",
                            (request, response) ->
                                response.sendString(
                                    Mono.just(
                                        "{\"zone\":\"liberia-a\",\"ready\":true,"
                                            + "\"sheetVersion\":4}")))
                        .get(
                            "/explain/r1",
                            (request, response) ->
                                response.sendString(
                                    Mono.just(
                                        "[{\"decision\":\"route\",\"targetId\":\"e1\","
                                            + "\"reason\":\"least load\",\"losers\":[\"e2=9\"]}]")))
                        .get(
                            "/explain/r2",
                            (request, response) ->
                                response.status(404).sendString(Mono.just("[]"))))
            .bindNow();
    client =
        new ClientRunner(directory, "127.0.0.1:" + address.getPort(), "127.0.0.1:" + daemon.port());
  }

  @AfterEach
  void stop() {
    daemon.disposeNow();
    keyValues.close();
  }

  @ParameterizedTest
  @CsvSource({
    "--help,OK,sheet export",
    "--version,OK,sequoiareach 0.1.0",
    "sheet check --help,OK,--json",
    "sheet export --help,OK,sequoiareach sheet export FILE",
    "sheet export --version,OK,sequoiareach 0.1.0",
    "status --help,OK,--settings"
  })
  void helpAndVersionArePrinted(String line, ExitCode code, String expected) {
    ClientRunner.Run run = ClientRunner.runWithoutSettings(line.split(" "));
    assertThat(run.code()).isEqualTo(code);
    assertThat(run.out()).contains(expected);
  }

  @ParameterizedTest
  @ValueSource(strings = {"nothing", "sheet", "sheet check", "status --bad", "status", "explain x"})
  void invalidCommandLineExitsWithUsage(String line) {
    ClientRunner.Run run = ClientRunner.runWithoutSettings(line.split(" "));
    assertThat(run.code()).isEqualTo(ExitCode.USAGE);
    assertThat(run.err()).startsWith("sequoiareach: ");
  }

  @Test
  void sampleFilesAreValid() {
    assertThat(ClientRunner.runWithoutSettings("sheet", "check", SAMPLE).code())
        .isEqualTo(ExitCode.OK);
    String settings = CONF.resolve("client.json").toString();
    ClientRunner.Run run =
        ClientRunner.runWithoutSettings("--check-settings", "--settings", settings);
    assertThat(run.code()).isEqualTo(ExitCode.OK);
  }

  @Test
  void allInvalidFieldsAreReportedAtOnce() throws IOException {
    String text =
        Files.readString(Path.of(SAMPLE))
            .replace("\"priority\": 2", "\"priority\": 12")
            .replace("\"contextTokens\": 32768", "\"contextTokens\": \"many\"");
    Path file = client.write("wrong.json", text);
    ClientRunner.Run run = ClientRunner.runWithoutSettings("sheet", "check", file.toString());
    assertThat(run.code()).isEqualTo(ExitCode.FAILED);
    assertThat(run.err())
        .contains("/organisations/0/priority = 12", "/models/0/contextTokens = \"many\"");
    ClientRunner.Run json =
        ClientRunner.runWithoutSettings("sheet", "check", file.toString(), "--json");
    assertThat(json.out()).contains("\"path\" : \"/organisations/0/priority\"");
  }

  @Test
  void exportRejectsStaleBaseVersion() {
    assertThat(client.run("sheet", "export", SAMPLE).out()).contains("version 1");
    assertThat(client.run("sheet", "export", SAMPLE).code()).isEqualTo(ExitCode.CONFLICT);
    assertThat(client.run("sheet", "export", SAMPLE, "--base", "1").out()).contains("version 2");
    assertThat(client.run("sheet", "show").out()).contains("Version 2", "aserradero-sur");
  }

  @Test
  void shownSheetCanBeExportedAgain() {
    client.run("sheet", "export", SAMPLE);
    Path file = directory.resolve("shown.json");
    client.run("sheet", "show", "--out", file.toString());
    assertThat(client.run("sheet", "export", file.toString()).out()).contains("version 2");
  }

  @Test
  void exportSucceedsThoughResponseIsLost() {
    keyValues.setFaults(new KvFaults(false, 0, 1, 0, false));
    assertThat(client.run("sheet", "export", SAMPLE).out()).contains("version 1");
  }

  @Test
  void unreachableKeyValueServiceExitsWithUnreachable() {
    keyValues.close();
    ClientRunner.Run run = client.run("sheet", "show", "--json");
    assertThat(run.code()).isEqualTo(ExitCode.UNREACHABLE);
    assertThat(run.out()).contains("\"code\" : \"UNREACHABLE\"");
  }

  @Test
  void unresponsiveDaemonIsListed() {
    String address = "127.0.0.1:" + daemon.port();
    ClientRunner both = new ClientRunner(directory, "127.0.0.1:1", address, "127.0.0.1:1");
    ClientRunner.Run run = both.run("status");
    assertThat(run.out()).contains("ready", "liberia-a", "no response");
    assertThat(run.code()).isEqualTo(ExitCode.FAILED);
    assertThat(client.run("status").code()).isEqualTo(ExitCode.OK);
  }

  @ParameterizedTest
  @CsvSource({"r1,OK,losers: e2=9", "r2,FAILED,No daemon"})
  void explainCollectsDecisionsOfDaemons(String requestId, ExitCode code, String expected) {
    ClientRunner.Run run = client.run("explain", requestId);
    assertThat(run.code()).isEqualTo(code);
    assertThat(run.out()).contains(expected);
  }

  @Test
  void forecastStatesItsBasis() {
    assertThat(client.run("forecast").code()).isEqualTo(ExitCode.FAILED);
    client.run("sheet", "export", SAMPLE);
    ClientRunner.Run run = client.run("forecast");
    assertThat(run.out()).contains("basis: ", "error: ", "aserradero-sur  6.00", "techos-brno");
    assertThat(client.run("forecast", "--month", "soon").code()).isEqualTo(ExitCode.USAGE);
  }

  @Test
  void importedPlanCanBeExported() {
    Path plan =
        client.write(
            "plan.csv",
            "organisation,key_digest,priority,model,model_version,context_tokens,"
                + "prompt_tokens_per_day,completion_tokens_per_day,concurrent_requests,"
                + "requests_per_second,services\ntechos-brno,sha256:"
                + "0".repeat(64)
                + ",5,contract-70b,v1,32768,100,200,10,20,dispatch\n");
    Path out = directory.resolve("imported.json");
    String[] line = {"sheet", "import", plan.toString(), "--out", out.toString()};
    assertThat(ClientRunner.runWithoutSettings(line).err())
        .contains("line 2, column services = dispatch");
    String[] priced = Arrays.copyOf(line, line.length + 2);
    priced[line.length] = "--catalogue";
    priced[line.length + 1] = SAMPLE;
    assertThat(ClientRunner.runWithoutSettings(priced).out())
        .contains("1 organisations and 1 models");
    assertThat(client.run("sheet", "export", out.toString()).out()).contains("version 1");
  }
}
