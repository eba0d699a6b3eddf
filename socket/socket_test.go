package socket_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/socket"
	"github.com/pistachiolead/pistachiolead/timer"
)

const userTimeout = 1500 * time.Millisecond

func connect(t *testing.T) (dialed, accepted net.Conn) {
	t.Helper()
	l, err := socket.Listen("tcp4", "127.0.0.1:0", userTimeout)
	assert.NilError(t, err)
	defer l.Close()
	dialed, err = socket.NewDialer(time.Second, userTimeout).Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	accepted, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return dialed, accepted
}

// Guards against connections without the option on one side, and on one of the architectures.
func TestBothSidesHaveUserTimeout(t *testing.T) {
	dialed, accepted := connect(t)
	for _, conn := range []net.Conn{dialed, accepted} {
		raw, err := conn.(syscall.Conn).SyscallConn()
		assert.NilError(t, err)
		var value int
		var optionErr error
		assert.NilError(t, raw.Control(func(fd uintptr) {
			value, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		}))
		assert.NilError(t, optionErr)
		assert.Equal(t, time.Duration(value)*time.Millisecond, userTimeout)
	}
}

// Guards against a write that blocks for good because the peer reads nothing, without a deadline.
func TestWriteToPeerThatReadsNothingEnds(t *testing.T) {
	for _, side := range []string{"dialed", "accepted"} {
		t.Run(side, func(t *testing.T) {
			t.Parallel()
			conn, accepted := connect(t)
			if side == "accepted" {
				conn = accepted
			}
			ended := make(chan error, 1)
			writers, _ := group.New(context.Background())
			writers.Go(func() error {
				var err error
				for data := make([]byte, 1<<20); err == nil; {
					_, err = conn.Write(data)
				}
				ended <- err
				return nil
			})
			timeout := make(chan bool)
			timer.System{}.After(30*time.Second, func(time.Time) { close(timeout) })
			select {
			case err := <-ended:
				assert.ErrorIs(t, err, syscall.ETIMEDOUT)
			case <-timeout:
				t.Fatal("the write hasn't ended")
			}
		})
	}
}
