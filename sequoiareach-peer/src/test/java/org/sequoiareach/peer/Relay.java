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

/** Passes bytes on to a transport until it is paused or cut. */
final class Relay implements AutoCloseable {

  private final ServerSocket server;
  private final String[] target;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final Semaphore running = new Semaphore(1);

  Relay(TcpPeerTransport to) throws IOException {
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    target = to.address().split(":");
    daemon(this::acceptAll);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  void pause() {
    running.acquireUninterruptibly();
  }

  void resume() {
    running.release();
  }

  void cut() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    cut();
  }

  private void acceptAll() throws IOException {
    while (true) {
      Socket from = server.accept();
      Socket to = new Socket(target[0], Integer.parseInt(target[1]));
      sockets.add(from);
      sockets.add(to);
      daemon(() -> copy(from.getInputStream(), to.getOutputStream()));
      daemon(() -> copy(to.getInputStream(), from.getOutputStream()));
    }
  }

  private void copy(InputStream in, OutputStream out) throws IOException {
    byte[] buffer = new byte[4_096];
    int count = in.read(buffer);
    while (count >= 0) {
      running.acquireUninterruptibly();
      running.release();
      out.write(buffer, 0, count);
      count = in.read(buffer);
    }
  }

  private static void daemon(Copying task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The socket was cut, which is what a relay is for.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private interface Copying {
    void run() throws IOException;
  }
}
