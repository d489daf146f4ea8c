package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/cardamomfront/cardamomfront/front/telemetry"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// replacedConnGrace is how long a replaced connection stays open, so that other
// calls on it can still complete.
const replacedConnGrace = 5 * time.Second

// Client calls methods of other instances. It keeps one connection per address,
// which concurrent calls share. A connection on which a call timed out may
// never respond again, so later calls use a new one.
type Client struct {
	// Traffic counts the bytes of all connections. Nil counts nothing. It must
	// be set before the first call.
	Traffic *telemetry.Traffic
	// AllowPlainTCP allows plain TCP to addresses other than loopback, for
	// networks that only the system's own instances use. It must be set before
	// the first call.
	AllowPlainTCP bool

	tls         *tls.Config
	dialTimeout time.Duration

	mu    sync.Mutex
	links map[string]*link
}

// link holds the connection to one address. Its lock is held while dialling, so
// that concurrent calls share one dial.
type link struct {
	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// NewClient returns a client without connections. A nil config means plain TCP.
func NewClient(config *tls.Config, dialTimeout time.Duration) *Client {
	return &Client{tls: config, dialTimeout: dialTimeout, links: make(map[string]*link)}
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, addr, method string, params, result any) error {
	l := c.getOrCreateLink(addr)
	conn, err := l.getOrDial(ctx, c, addr)
	if err != nil {
		return &Error{Addr: addr, Method: method, Verdict: verdict.NotRun, Err: err}
	}
	err = conn.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return &Error{Addr: addr, Method: method, Verdict: rpcErrorVerdict(rpcErr), Err: rpcErr}
	}
	if !errors.Is(err, context.Canceled) {
		l.retire(conn)
	}
	return &Error{Addr: addr, Method: method, Verdict: verdict.MayHaveRun, Err: err}
}

// rpcErrorVerdict returns whether the method ran, given the error that the peer
// returned.
func rpcErrorVerdict(err *jsonrpc2.Error) verdict.Verdict {
	if err.Code == jsonrpc2.CodeMethodNotFound {
		return verdict.NotRun
	}
	return verdict.Ran
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.mu.Lock()
		if l.conn != nil {
			_ = l.conn.Close()
		}
		l.mu.Unlock()
	}
	c.links = make(map[string]*link)
}

// getOrCreateLink returns the link to addr and creates it on first use.
func (c *Client) getOrCreateLink(addr string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.links[addr]
	if !ok {
		l = &link{}
		c.links[addr] = l
	}
	return l
}

// getOrDial returns the open connection of l, or dials addr if there is none.
func (l *link) getOrDial(ctx context.Context, c *Client, addr string) (*jsonrpc2.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		select {
		case <-l.conn.DisconnectNotify():
		default:
			return l.conn, nil
		}
	}
	conn, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(c.Traffic.Conn(conn), lengthCodec{})
	l.conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, rejectCalls{}, discardLog)
	return l.conn, nil
}

// retire makes later calls dial a new connection and closes conn after a grace
// period.
func (l *link) retire(conn *jsonrpc2.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return
	}
	l.conn = nil
	time.AfterFunc(replacedConnGrace, func() { _ = conn.Close() })
}

// dial opens a connection to addr.
func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.dialTimeout)
	defer cancel()
	if c.tls != nil {
		d := tls.Dialer{Config: c.tls}
		return d.DialContext(ctx, "tcp", addr)
	}
	if err := checkLoopback(addr); err != nil && !c.AllowPlainTCP {
		return nil, err
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// rejectCalls rejects calls that arrive on an outgoing connection.
type rejectCalls struct{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	err := &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no methods here"}
	_ = conn.ReplyWithError(ctx, req.ID, err)
}
