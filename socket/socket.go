// Package socket opens TCP connections that end by themselves if the peer doesn't acknowledge what was sent.
package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// NewDialer returns a dialer. A connection of it ends with an error once sent data has been unacknowledged, or hasn't fitted
// into the peer's buffers, for userTimeout.
func NewDialer(dialTimeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: control(userTimeout)}
}

// Listen listens on an address of the network ("tcp" or "tcp4"). Connections that it accepts have the user timeout as in
// NewDialer, and end if their peer doesn't answer keep-alive probes.
func Listen(network, address string, userTimeout time.Duration) (net.Listener, error) {
	config := net.ListenConfig{Control: control(userTimeout)} // accepted connections inherit the option
	l, err := config.Listen(context.Background(), network, address)
	return l, errors.WithStack(err)
}

func control(userTimeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		if err != nil {
			return errors.WithStack(err)
		}
		return errors.Wrap(optionErr, "set TCP_USER_TIMEOUT")
	}
}
