// Package soak runs entry VMs as separate processes against the emulated platform, and injects faults from outside.
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

// Mode is what a proxy does with bytes.
type Mode uint8

// Modes of a proxy.
const (
	Pass   Mode = iota
	Delay       // holds each piece for some time
	Cut         // swallows all bytes, both ways
	OneWay      // swallows what comes back
	Reset       // resets connections
)

const (
	longestDelay = 400 * time.Millisecond
	bufferBytes  = 16 << 10
	dialTimeout  = time.Second
)

// Proxy forwards connections on loopback to a target. Its exported fields are set before Run.
type Proxy struct {
	Target string
	Timer  timer.Clock

	listener net.Listener
	mu       sync.Mutex
	mode     Mode
	open     map[net.Conn]bool
}

// Listen takes a port.
func (p *Proxy) Listen() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	p.listener, p.open = l, make(map[net.Conn]bool)
	return errors.Wrap(err, "listen for a proxy")
}

// Address returns the address to connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes what happens to the bytes of all connections from now on.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != Reset {
		return
	}
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the connection is closed anyway
		}
		_ = c.Close()
	}
}

func (p *Proxy) now() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// Run forwards until ctx ends.
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
		p.track(client, server)
		tasks.Go(func() error { return p.pump(ctx, server, client, false) })
		tasks.Go(func() error { return p.pump(ctx, client, server, true) })
	}
	return tasks.Wait()
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.open[c] = true
	}
}

// pump copies one direction until a side closes. Bytes that are swallowed leave the connection useless but open.
func (p *Proxy) pump(ctx context.Context, to, from net.Conn, back bool) error {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		mode := p.now()
		if mode == Delay {
			timer.Wait(ctx, p.Timer, time.Duration(rand.Int64N(int64(longestDelay))))
		}
		swallowed := mode == Cut || (mode == OneWay && back)
		if n > 0 && !swallowed {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			p.close(to, from)
			return nil // connections break: that is what the proxy is for
		}
	}
}

func (p *Proxy) close(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.open, c)
	}
}
