package wingroad.driver;

import java.nio.ByteBuffer;
import java.time.Duration;
import wingroad.protocol.ClientInput;
import wingroad.protocol.ClientOutput;
import wingroad.protocol.Statement;
import wingroad.transport.Link;

/** One client's connection. Its commands are taken one after the other, each when the last is answered. */
final class ClientLink implements Link.Owner, Exchange.Asker {
    private final Clients side;
    private final ClientInput input = new ClientInput();
    private Link link;
    private final int number;
    private final Duration since;
    private boolean asked;
    /** The txn that waits for its final answer, or null. */
    private String txn;
    /** Its txn is being handed over. */
    private boolean taking;
    /** The size of its statement. */
    private int holds;
    /** After an extended-query message all is skipped up to its sync. */
    private boolean skipping;
    /** Nothing more is taken; what was answered is still written. */
    private boolean leaving;

    ClientLink(Clients side, Duration since, int number) {
        this.side = side;
        this.since = since;
        this.number = number;
    }

    void begin(Link link) {
        this.link = link;
        link.begin();
    }

    boolean busy() {
        return txn != null || taking || link.unsent() || link.unread();
    }

    @Override
    public void bytes(ByteBuffer in) {
        if (leaving) {
            in.position(in.limit());
            return;
        }
        // One that does not read its answers gets no further ones: at most one waits to be written.
        while (txn == null && !leaving && !link.unsent()) {
            ClientInput.Message m = input.next(in);
            if (m == null) {
                return;
            }
            take(m);
        }
    }

    private void take(ClientInput.Message m) {
        switch (m.kind()) {
            case STARTUP, NEWER_STARTUP -> {
                send(new ClientOutput().welcome(m.kind() == ClientInput.Kind.NEWER_STARTUP, number));
            }
            case ENCRYPTION -> send(new ClientOutput().noEncryption());
            case QUERY -> {
                if (!skipping) {
                    query(m.bytes());
                }
            }
            case EXTENDED -> {
                if (!skipping) {
                    skipping = true;
                    side.count("extended query");
                    send(new ClientOutput().error(false, ClientOutput.UNSUPPORTED, "only simple queries", null));
                }
            }
            case SYNC -> {
                ClientOutput out = new ClientOutput();
                if (m.why() != null && !skipping) {
                    out.error(false, ClientOutput.UNSUPPORTED, "no function calls", null);
                }
                if (m.why() == null || !skipping) {
                    skipping = false;
                    send(out.ready());
                }
            }
            case SKIP -> {
                // rows for a copy that was never begun
            }
            case BROKEN -> {
                side.count("client " + m.why());
                send(new ClientOutput().error(true, ClientOutput.MALFORMED, m.why(), null));
                leave();
            }
            default -> {
                leaving = true;
                close();
            }
        }
    }

    private void query(byte[] text) {
        asked = true;
        if (isBlank(text)) {
            send(new ClientOutput().emptyQuery());
            return;
        }
        Statement.Parsed p = Statement.parse(text);
        String why = p.why();
        String code = ClientOutput.MALFORMED;
        Statement s = p.statement();
        if (s != null) {
            code = ClientOutput.UNKNOWN_NAME;
            why = side.whyUnknown(s);
        }
        if (why != null) {
            side.count("client " + why);
            send(new ClientOutput().error(false, code, why, null).ready());
            return;
        }
        holds = text.length;
        side.hold(holds);
        taking = true;
        txn = side.arrived(s, this);
        taking = false;
        if (txn == null) {
            // Guards the txns under way at the descriptor limit: one that is not let in would wait unseen.
            side.count("client declined for descriptors");
            declined(null);
        }
    }

    private static boolean isBlank(byte[] text) {
        for (byte b : text) {
            if (b != ' ' && b != ';' && b != '\n' && b != '\t' && b != '\r') {
                return false;
            }
        }
        return true;
    }

    @Override
    public void committed(byte[] row) {
        answer(new ClientOutput().row(row));
    }

    @Override
    public void declined(Duration comeBack) {
        side.count("DECLINED");
        String wait = comeBack == null ? null : Long.toString(Math.max(1, comeBack.toMillis()));
        answer(new ClientOutput().error(false, ClientOutput.DECLINED, "declined", wait).ready());
    }

    @Override
    public void rolledBack() {
        side.count("ROLLED BACK");
        answer(new ClientOutput().error(false, ClientOutput.ROLLED_BACK, "rolled back", null).ready());
    }

    private void answer(ClientOutput out) {
        settled();
        send(out);
    }

    private void settled() {
        txn = null;
        side.hold(-holds);
        holds = 0;
    }

    private void send(ClientOutput out) {
        link.send(out.bytes());
    }

    @Override
    public void written() {
        if (leaving) {
            return;
        }
        if (link.unread()) {
            link.offerAgain();
        } else if (txn == null && asked) {
            side.idles(this);
            if (side.closing()) {
                leave();
            }
        }
    }

    /** Takes nothing more; the client sees the end after the last answer. */
    void leave() {
        leaving = true;
        link.finish();
    }

    /** It has had a query at least; one that has not may be about to ask. */
    boolean asked() {
        return asked;
    }

    Duration since() {
        return since;
    }

    void close() {
        link.close();
        side.left(this);
    }

    @Override
    public void full() {
        if (txn == null && !leaving) {
            // Nothing of it was sent on: trying again is harmless.
            side.count("client turned away for memory");
            send(new ClientOutput().error(true, ClientOutput.DECLINED, "no memory for this now", null));
            leave();
        }
    }

    @Override
    public void ended(int unwritten, String how) {
        if (txn != null) {
            side.lapsed(txn);
            settled();
        }
        side.left(this);
    }
}
