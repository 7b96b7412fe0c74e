import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client that keeps one connection to an entry node open and sends one streaming request after the other on it. */
final class StreamClient implements Runnable {
    private final Rig rig;
    private final int port;
    private final String name;
    volatile boolean isStopped;

    /** Requests that were answered whole. */
    volatile int answered;

    /** The request whose connection ended without a complete answer, if there is one; it was not the first one there. */
    volatile String unanswered;

    StreamClient(Rig rig, int port, String name) {
        this.rig = rig;
        this.port = port;
        this.name = name;
    }

    @Override
    public void run() {
        String request = null;
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(8_000);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (!isStopped) {
                request = name + String.format("%06x", answered);
                Map<String, String> headers = Rig.headers();
                headers.put("X-Request-Id", request);
                headers.put("X-Model", "m");
                headers.put("X-Token-Usage", "450,176");
                headers.put("X-Prompt-Prefix", "5c1e07a2:200," + request + ":250");
                headers.put("X-Deadline-Ms", "5000");
                headers.put("Content-Length", "4");
                StringBuilder head = new StringBuilder("POST " + Rig.ONLINE_PREFIX + "2f HTTP/1.1\r\n");
                headers.forEach((key, value) -> head.append(key).append(": ").append(value).append("\r\n"));
                socket.getOutputStream().write((head + "\r\nbody").getBytes(StandardCharsets.UTF_8));
                socket.getOutputStream().flush();
                int status = read(input);
                if (status != 200) rig.note("request " + request + " -> " + status);
                answered++;
                Thread.sleep(20);
            }
        } catch (IOException ended) {
            rig.note("request " + request + ": the connection ended without a complete answer: " + ended.getMessage());
            if (answered > 0) unanswered = request;
        } catch (InterruptedException stopped) {
            isStopped = true;
        }
    }

    private static int read(InputStream input) throws IOException {
        String first = line(input);
        boolean isChunked = false;
        int length = 0;
        for (String line = line(input); !line.isEmpty(); line = line(input)) {
            String lower = line.toLowerCase();
            if (lower.startsWith("transfer-encoding:")) isChunked = true;
            if (lower.startsWith("content-length:")) length = Integer.parseInt(lower.substring(15).trim());
        }
        if (!isChunked) input.readNBytes(length);
        while (isChunked) {
            int size = Integer.parseInt(line(input), 16);
            if (input.readNBytes(size).length < size) throw new IOException("the body ended early");
            line(input);
            if (size == 0) break;
        }
        return Integer.parseInt(first.split(" ")[1]);
    }

    private static String line(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = input.read();
            if (next < 0) throw new IOException("end of the connection");
            if (next == '\n') return line.toString();
            if (next != '\r') line.append((char) next);
        }
    }
}
