package peer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/pistachiolead/pistachiolead/requestbody"
)

// longAgo is a deadline that interrupts a read.
var longAgo = time.Unix(1, 0)

// reservationKey is the key of the context value with the reservation of a request's body.
type reservationKey struct{}

// receiveBody replaces the body of a request by one that has arrived, within the budget. If that fails, it writes the response and
// returns false. The caller must release the reservation.
func (s *Server) receiveBody(w http.ResponseWriter, r *http.Request) (*http.Request, *requestbody.Reservation, bool) {
	reservation := s.Bodies.Reserve(func() {
		_ = http.NewResponseController(w).SetReadDeadline(longAgo) // fails if the connection is closed
	})
	data, err := reservation.Read(r.Body, int(r.ContentLength), MaxMessageBytes)
	// The generated code copies the body before it decodes it.
	if err == nil && !reservation.Grow(int64(len(data))) {
		err = requestbody.ErrNoRoom
	}
	if err != nil {
		reservation.Release()
		cause := requestbody.CauseOf(err)
		address, _ := r.Context().Value(http.LocalAddrContextKey).(interface{ String() string })
		s.Bodies.Refused(cause, addressText(address))
		code := twirp.Malformed
		if cause == requestbody.NoRoom {
			code = twirp.ResourceExhausted
		}
		w.Header().Set("Connection", "close")
		_ = twirp.WriteError(w, twirp.NewError(code, err.Error()))
		return r, reservation, false
	}
	r = r.WithContext(context.WithValue(r.Context(), reservationKey{}, reservation))
	r.Body = io.NopCloser(bytes.NewReader(data))
	return r, reservation, true
}

func addressText(a interface{ String() string }) string {
	if a == nil {
		return ""
	}
	return a.String()
}

// releaseDecoded returns the bytes of a body to the budget once it is decoded, as a call may take long.
func releaseDecoded(next twirp.Method) twirp.Method {
	return func(ctx context.Context, request any) (any, error) {
		if reservation, ok := ctx.Value(reservationKey{}).(*requestbody.Reservation); ok {
			reservation.Release()
		}
		return next(ctx, request)
	}
}
