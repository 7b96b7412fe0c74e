import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** One HTTP/1.1 call of a client, on a new connection. */
final class Call {
    final int status;
    final Map<String, String> headers;
    final byte[] body;

    private Call(int status, Map<String, String> headers, byte[] body) {
        this.status = status;
        this.headers = headers;
        this.body = body;
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Throws {@link IOException} if there is no whole answer within {@code limitMillis}. */
    static Call send(int port, String method, String path, Map<String, String> headers, byte[] body, int limitMillis)
        throws IOException {
        long until = System.nanoTime() + limitMillis * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setTcpNoDelay(true);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || !method.equals("GET")) head.append("Content-Length: ").append(body.length).append("\r\n");
            OutputStream output = socket.getOutputStream();
            output.write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            output.write(body);
            output.flush();
            InputStream input = new BufferedInputStream(socket.getInputStream());
            return read(socket, input, until);
        }
    }

    private static Call read(Socket socket, InputStream input, long until) throws IOException {
        String first = line(socket, input, until);
        if (!first.startsWith("HTTP/1.1 ")) throw new IOException("no answer: " + first);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(socket, input, until); !line.isEmpty(); line = line(socket, input, until)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equals(headers.get("transfer-encoding"))) {
            while (true) {
                int size = Integer.parseInt(line(socket, input, until).trim(), 16);
                if (size == 0) break;
                bytes(socket, input, until, size, body);
                line(socket, input, until);
            }
            line(socket, input, until);
        } else {
            bytes(socket, input, until, Integer.parseInt(headers.getOrDefault("content-length", "0")), body);
        }
        return new Call(Integer.parseInt(first.substring(9, 12)), headers, body.toByteArray());
    }

    private static void bytes(Socket socket, InputStream input, long until, int count, ByteArrayOutputStream to)
        throws IOException {
        byte[] buffer = new byte[8192];
        int left = count;
        while (left > 0) {
            limit(socket, until);
            int read = input.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) throw new IOException("the answer ended early");
            to.write(buffer, 0, read);
            left -= read;
        }
    }

    private static String line(Socket socket, InputStream input, long until) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            if (input.available() == 0) limit(socket, until);
            int next = input.read();
            if (next < 0) throw new IOException("closed without a whole answer");
            if (next == '\n') return line.toString();
            if (next != '\r') line.append((char) next);
        }
    }

    private static void limit(Socket socket, long until) throws IOException {
        long leftMillis = (until - System.nanoTime()) / 1_000_000;
        if (leftMillis <= 0) throw new IOException("no whole answer in time");
        socket.setSoTimeout((int) leftMillis);
    }
}
