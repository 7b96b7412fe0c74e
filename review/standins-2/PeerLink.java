import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The link to the peer address of one node. While it is cut, connections of the nodes beyond the cut are silent, in both
 * directions, and nothing is reset: each one is known by the name of its sender, which stands first in the messages that
 * nodes exchange. What was held up is passed on afterwards, unless its sender has closed the connection.
 */
final class PeerLink {
    private final class Pair {
        final Socket from;
        final Socket to;
        volatile String sender;
        volatile boolean isSilent;

        Pair(Socket from, Socket to) {
            this.from = from;
            this.to = to;
        }

        boolean isCut() {
            return isSilent || sender != null && cutOff.contains(sender);
        }

        void close() {
            try {
                from.close();
                to.close();
            } catch (IOException closed) {
                // Both are closed now.
            }
        }
    }

    private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    private final List<String> names;
    private final List<Pair> pairs = new ArrayList<>();
    private volatile List<String> cutOff = List.of();
    private final String target;
    final String address = Http.address(listener);

    PeerLink(String target, List<String> names) throws Exception {
        this.target = target;
        this.names = names;
        Http.daemon(this::accept);
    }

    /** From now on the nodes with these names cannot call this one. */
    void cut(List<String> senders) {
        cutOff = senders;
    }

    /** The connections that are open go silent for good, without a reset, while new ones work. */
    void silenceOpenConnections() {
        synchronized (pairs) {
            for (Pair pair : pairs) pair.isSilent = true;
        }
    }

    void heal() {
        cutOff = List.of();
    }

    private void accept() {
        while (true) {
            try {
                Socket from = listener.accept();
                from.setTcpNoDelay(true);
                Http.daemon(() -> open(from));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void open(Socket from) {
        try {
            Pair pair = new Pair(from, Http.connect(target, 1_000));
            synchronized (pairs) {
                pairs.add(pair);
            }
            Http.daemon(() -> pass(pair, pair.to, pair.from, false));
            pass(pair, pair.from, pair.to, true);
        } catch (IOException unreachable) {
            try {
                from.close();
            } catch (IOException closed) {
                // It is closed.
            }
        }
    }

    private void pass(Pair pair, Socket in, Socket out, boolean isFromSender) {
        byte[] buffer = new byte[64 * 1024];
        try {
            InputStream source = in.getInputStream();
            OutputStream sink = out.getOutputStream();
            while (true) {
                int count = source.read(buffer);
                if (count < 0) break;
                if (isFromSender && pair.sender == null) pair.sender = firstName(buffer, count);
                while (pair.isCut()) Rig.pause(10);
                sink.write(buffer, 0, count);
                sink.flush();
            }
        } catch (IOException closed) {
            // The other direction ends too.
        }
        pair.close();
        synchronized (pairs) {
            pairs.remove(pair);
        }
    }

    private String firstName(byte[] buffer, int count) {
        String text = new String(buffer, 0, count, StandardCharsets.ISO_8859_1);
        String first = null;
        int firstAt = Integer.MAX_VALUE;
        for (String name : names) {
            int at = text.indexOf(name);
            if (at >= 0 && at < firstAt) {
                firstAt = at;
                first = name;
            }
        }
        return first;
    }
}
