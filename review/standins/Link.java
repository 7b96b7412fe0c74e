import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A path to one process. While it is cut, bytes and new connections wait; when the cut ends, they arrive. */
final class Link implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final int targetPort;
    private boolean isCut;

    Link(int targetPort) throws IOException {
        this.targetPort = targetPort;
        executor.execute(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket caller = listener.accept();
                    executor.execute(() -> forward(caller));
                } catch (IOException closed) {
                    return;
                }
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    synchronized void setCut(boolean cut) {
        isCut = cut;
        notifyAll();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        executor.shutdownNow();
    }

    private synchronized void awaitPath() throws IOException {
        try {
            while (isCut) wait();
        } catch (InterruptedException stopped) {
            throw new IOException("the link is closed");
        }
    }

    private void forward(Socket caller) {
        try {
            awaitPath();
            Socket target = new Socket(InetAddress.getByName("127.0.0.1"), targetPort);
            caller.setTcpNoDelay(true);
            target.setTcpNoDelay(true);
            executor.execute(() -> copy(caller, target));
            copy(target, caller);
        } catch (IOException notReached) {
            closeQuietly(caller);
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[65_536];
        try {
            while (true) {
                int count = from.getInputStream().read(buffer);
                awaitPath();
                if (count < 0) break;
                to.getOutputStream().write(buffer, 0, count);
            }
        } catch (IOException ended) {
            // The other side is closed below.
        }
        closeQuietly(from);
        closeQuietly(to);
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // It is closed already.
        }
    }
}
