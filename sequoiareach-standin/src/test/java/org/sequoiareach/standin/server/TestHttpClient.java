package org.sequoiareach.standin.server;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.stream.Stream;

/** Sends HTTP requests to a stand-in without retries. */
public final class TestHttpClient {

  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private final String base;

  /**
   * Creates a client.
   *
   * @param address the address of the stand-in
   */
  public TestHttpClient(InetSocketAddress address) {
    this.base = "http://" + Addresses.format(address);
  }

  /**
   * Sends a request and reads its response.
   *
   * @param method the method
   * @param path the path
   * @param body the body; empty for none
   * @param headers alternating header names and values
   * @return the response
   */
  public HttpResponse<String> send(String method, String path, String body, String... headers)
      throws IOException, InterruptedException {
    return CLIENT.send(build(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
  }

  /**
   * Sends a request and reads its response as JSON.
   *
   * @param method the method
   * @param path the path
   * @param body the body; empty for none
   * @return the tree
   */
  public JsonNode json(String method, String path, String body)
      throws IOException, InterruptedException {
    return Exchanges.parse(send(method, path, body).body());
  }

  /**
   * Sends a request and reads the lines of its response as they arrive.
   *
   * @param method the method
   * @param path the path
   * @param body the body; empty for none
   * @param headers alternating header names and values
   * @return the lines
   */
  public Stream<String> lines(String method, String path, String body, String... headers)
      throws IOException, InterruptedException {
    return CLIENT
        .send(build(method, path, body, headers), HttpResponse.BodyHandlers.ofLines())
        .body();
  }

  /**
   * Replaces the fault switches.
   *
   * @param faults a JSON object of switches
   */
  public void setFaults(String faults) throws IOException, InterruptedException {
    assertThat(send("PUT", "/faults", faults).statusCode()).isEqualTo(200);
  }

  private HttpRequest build(String method, String path, String body, String... headers) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create(base + path))
            .timeout(Duration.ofSeconds(10))
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      builder.headers(headers);
    }
    return builder.build();
  }
}
