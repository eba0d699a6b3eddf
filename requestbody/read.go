package requestbody

import (
	"io"

	"github.com/pkg/errors"
)

// firstBufferBytes is the first size of the buffer of a body. Most bodies fit into it.
const firstBufferBytes = 1 << 10

var (
	// ErrTooLarge says that a body exceeds its limit.
	ErrTooLarge = errors.New("the body is too large")
	// ErrNoRoom says that a body was dropped, or didn't fit, because the budget is used up.
	ErrNoRoom = errors.New("the budget for bodies is used up")
)

// Read reads a body of at most limit bytes, and completes the reservation. announced is the length of the body, or negative if it
// ends with the end of src. The buffer doubles as bytes arrive. The error is ErrTooLarge, ErrNoRoom, io.ErrUnexpectedEOF, or that
// of src. The bytes are valid until Release.
func (r *Reservation) Read(src io.Reader, announced, limit int) ([]byte, error) {
	if announced > limit {
		return nil, ErrTooLarge
	}
	var data []byte
	for len(data) != announced {
		if len(data) > limit {
			return nil, ErrTooLarge
		}
		var err error
		if len(data) == cap(data) {
			if data, err = r.enlarge(data, announced, limit); err != nil {
				return nil, err
			}
		}
		n, err := src.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF { //nolint:errorlint // readers return it unwrapped
			if announced >= 0 && len(data) < announced {
				err = io.ErrUnexpectedEOF
			} else {
				break
			}
		}
		if err != nil && len(data) != announced {
			return nil, r.cause(err)
		}
	}
	if len(data) > limit {
		return nil, ErrTooLarge
	}
	if !r.Complete() {
		return nil, ErrNoRoom
	}
	return data, nil
}

// enlarge returns a larger buffer with the same content. One byte beyond the limit shows that a body of unknown length exceeds it.
func (r *Reservation) enlarge(data []byte, announced, limit int) ([]byte, error) {
	most := announced
	if most < 0 {
		most = limit + 1
	}
	size := min(max(2*cap(data), firstBufferBytes), most)
	if size >= limit {
		size = most
	}
	if !r.Grow(int64(size)) {
		return nil, ErrNoRoom
	}
	larger := make([]byte, len(data), size)
	copy(larger, data)
	r.Shrink(int64(cap(data)))
	return larger, nil
}

// cause returns ErrNoRoom if reading ended with the error because the body was dropped.
func (r *Reservation) cause(err error) error {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.dropped {
		return ErrNoRoom
	}
	return err
}
