import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 over plain sockets: one thread for each connection. */
final class Http {
    private Http() {}

    /** A message whose body was read whole. */
    static final class Message {
        String firstLine;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String path() {
            return target().split("\\?", 2)[0];
        }

        Map<String, String> query() {
            Map<String, String> query = new LinkedHashMap<>();
            String[] parts = target().split("\\?", 2);
            if (parts.length < 2) return query;
            for (String pair : parts[1].split("&")) {
                String[] nameAndValue = pair.split("=", 2);
                query.put(nameAndValue[0], nameAndValue.length < 2 ? "" : nameAndValue[1]);
            }
            return query;
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (out.size() == 0) return null;
                throw new EOFException("a line was cut off");
            }
            if (b == '\n') break;
            if (b != '\r') out.write(b);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a message with its body; null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        Message message = new Message();
        message.firstLine = line(in);
        if (message.firstLine == null) return null;
        while (true) {
            String header = line(in);
            if (header == null) throw new EOFException("a head was cut off");
            if (header.isEmpty()) break;
            int colon = header.indexOf(':');
            message.headers.put(header.substring(0, colon).trim(), header.substring(colon + 1).trim());
        }
        String length = message.headers.get("Content-Length");
        if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length < Integer.parseInt(length)) throw new EOFException("a body was cut off");
        } else if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) throw new EOFException("a body was cut off");
                int bytes = Integer.parseInt(size.trim(), 16);
                byte[] chunk = in.readNBytes(bytes);
                if (chunk.length < bytes) throw new EOFException("a chunk was cut off");
                body.write(chunk);
                line(in);
                if (bytes == 0) break;
            }
            message.body = body.toByteArray();
        }
        return message;
    }

    static void write(OutputStream out, String firstLine, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(firstLine).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body != null) head.append("Content-Length: ").append(body.length).append("\r\n");
        head.append("\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    /** One request on a new connection. Throws an IOException if no whole answer arrives in time. */
    static Message call(String address, String method, String target, Map<String, String> headers, byte[] body,
            int timeoutMillis) throws IOException {
        try (Socket socket = connect(address, 1_000)) {
            socket.setSoTimeout(timeoutMillis);
            write(socket.getOutputStream(), method + " " + target + " HTTP/1.1", headers, body);
            Message answer = read(new BufferedInputStream(socket.getInputStream()));
            if (answer == null) throw new EOFException("the connection was closed without an answer");
            return answer;
        }
    }

    static Socket connect(String address, int timeoutMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(
            new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
            timeoutMillis);
        return socket;
    }

    interface Handler {
        /** Answers one request; returns whether the connection stays open. */
        boolean handle(Message request, OutputStream out, Socket socket) throws Exception;
    }

    /** Serves on a free port of the loopback address, and returns the port's socket. */
    static ServerSocket serve(Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        daemon(() -> {
            while (true) {
                Socket socket;
                try {
                    socket = listener.accept();
                } catch (IOException closed) {
                    return;
                }
                daemon(() -> {
                    try (Socket open = socket) {
                        open.setTcpNoDelay(true);
                        InputStream in = new BufferedInputStream(open.getInputStream());
                        while (true) {
                            Message request = read(in);
                            if (request == null || !handler.handle(request, open.getOutputStream(), open)) return;
                        }
                    } catch (IOException gone) {
                        // The other side has left.
                    } catch (Exception failure) {
                        failure.printStackTrace();
                    }
                });
            }
        });
        return listener;
    }

    static Thread daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String address(ServerSocket listener) {
        return "127.0.0.1:" + listener.getLocalPort();
    }
}
