package org.sequoiareach.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;

/**
 * TCP relay in front of a transport, whose traffic can be paused and whose connections be dropped.
 */
final class Relay implements AutoCloseable {

  private final ServerSocket server;
  private final String[] address;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final Semaphore flowPermit = new Semaphore(1);

  Relay(TcpPeerTransport transport) throws IOException {
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    address = transport.address().split(":");
    startDaemonThread(this::acceptAll);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  void pause() {
    flowPermit.acquireUninterruptibly();
  }

  void resume() {
    flowPermit.release();
  }

  void dropConnections() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    dropConnections();
  }

  private void acceptAll() throws IOException {
    while (true) {
      Socket client = server.accept();
      Socket upstream = new Socket(address[0], Integer.parseInt(address[1]));
      sockets.add(client);
      sockets.add(upstream);
      startDaemonThread(() -> copy(client.getInputStream(), upstream.getOutputStream()));
      startDaemonThread(() -> copy(upstream.getInputStream(), client.getOutputStream()));
    }
  }

  private void copy(InputStream in, OutputStream out) throws IOException {
    byte[] buffer = new byte[4_096];
    int count = in.read(buffer);
    while (count >= 0) {
      flowPermit.acquireUninterruptibly();
      flowPermit.release();
      out.write(buffer, 0, count);
      count = in.read(buffer);
    }
  }

  private static void startDaemonThread(IoTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // Expected: a socket was closed by dropConnections().
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private interface IoTask {
    void run() throws IOException;
  }
}
