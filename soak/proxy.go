// Package soak provides a TCP proxy that injects network faults. The soak test runs entry VMs as separate processes
// against the emulated platform, with proxies between them, and injects faults from outside of the processes.
package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/timer"
)

// Mode is what a proxy does with the bytes that it receives.
type Mode uint8

// Modes of a proxy.
const (
	Pass             Mode = iota
	Delay                 // forwards each chunk after a random delay of up to maxDelay
	DiscardAll            // discards all bytes in both directions
	DiscardResponses      // discards the bytes from the target
	Reset                 // resets open connections, and forwards like Pass on new ones
	Stall                 // forwards a part of the next chunk and then reads nothing, in both directions
	StallResponses        // the same, from the target only
)

const (
	maxDelay    = 400 * time.Millisecond
	bufferBytes = 16 << 10
	dialTimeout = time.Second
	stallCheck  = 10 * time.Millisecond
)

// Proxy forwards TCP connections on loopback to a target. Its exported fields are set before Run.
type Proxy struct {
	Target string // host and port
	Clock  timer.Clock

	listener    net.Listener
	mu          sync.Mutex
	mode        Mode
	connections map[net.Conn]bool
}

// Listen opens a port.
func (p *Proxy) Listen() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	p.listener, p.connections = l, make(map[net.Conn]bool)
	return errors.Wrap(err, "listen for a proxy")
}

// Address returns the host and port to connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode of all connections, open and future ones. Reset closes the open ones.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != Reset {
		return
	}
	for c := range p.connections {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the connection is closed in any case
		}
		_ = c.Close()
	}
}

// Mode returns the mode.
func (p *Proxy) Mode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// Run forwards connections until ctx ends.
func (p *Proxy) Run(ctx context.Context) error {
	tasks, ctx := group.New(ctx)
	stop := context.AfterFunc(ctx, func() {
		_ = p.listener.Close()
		p.SetMode(Reset)
	})
	defer stop()
	for {
		client, err := p.listener.Accept()
		if err != nil {
			break
		}
		server, err := net.DialTimeout("tcp4", p.Target, dialTimeout)
		if err != nil {
			_ = client.Close()
			continue
		}
		limitBuffers(client, server)
		p.track(client, server)
		tasks.Go(func() error { return p.relay(ctx, server, client, false) })
		tasks.Go(func() error { return p.relay(ctx, client, server, true) })
	}
	return tasks.Wait()
}

// limitBuffers makes connections that aren't read block their peers after little data, as on a network.
func limitBuffers(conns ...net.Conn) {
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(bufferBytes) // the default works as well, with more data
		}
	}
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.connections[c] = true
	}
}

// relay copies the bytes of one direction until either side closes. A connection whose bytes are discarded stays open.
func (p *Proxy) relay(ctx context.Context, to, from net.Conn, fromTarget bool) error {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		mode := p.Mode()
		if mode == Delay {
			timer.Wait(ctx, p.Clock, time.Duration(rand.Int64N(int64(maxDelay))))
		}
		part := 0
		if mode == Stall || (mode == StallResponses && fromTarget) {
			part = n / 2
			if _, writeErr := to.Write(buffer[:part]); writeErr != nil {
				err = writeErr
			}
			p.waitWhile(ctx, mode)
			mode = p.Mode()
		}
		discard := mode == DiscardAll || (mode == DiscardResponses && fromTarget)
		if n > part && !discard {
			if _, writeErr := to.Write(buffer[part:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			p.closeConnections(to, from)
			return nil // broken connections are expected
		}
	}
}

// waitWhile waits until the proxy has another mode.
func (p *Proxy) waitWhile(ctx context.Context, mode Mode) {
	for ctx.Err() == nil && p.Mode() == mode {
		timer.Wait(ctx, p.Clock, stallCheck)
	}
}

func (p *Proxy) closeConnections(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.connections, c)
	}
}
