package workload

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

const (
	// MaxProgressBytes is the largest stored form of progress that the store accepts.
	MaxProgressBytes = 65_536
	// jobPacked is the state in the outer form of packed progress. Earlier releases know no such state, and leave out the job
	// rather than read it as one without runs.
	jobPacked JobState = "packed"
	// jobSparse is that of packed progress with DoneRanges, which earlier releases would leave out.
	jobSparse JobState = "sparse"
	// maxUnpackedBytes bounds the progress that is unpacked from a row.
	maxUnpackedBytes = 64 << 20
	// maxBitIndex bounds the indexes of done tasks that are stored as bits.
	maxBitIndex = 8192
)

// packedRow is the stored form of progress that is longer than MaxProgressBytes as plain JSON.
type packedRow struct {
	State JobState `json:"state"`
	// Data is the compressed JSON of unpackedProgress.
	Data []byte `json:"data"`
}

// unpackedProgress is progress whose done tasks are bits by their indexes.
type unpackedProgress struct {
	Progress
	DoneBits map[string][]byte `json:"done-bits,omitempty"`
}

// PackedBytes returns the length of the packed form of progress.
func (p Progress) PackedBytes() int { return len(p.pack()) }

// pack returns the packed form of progress.
func (p Progress) pack() []byte {
	u := unpackedProgress{Progress: p}
	u.DoneTasks = make(map[string][]int)
	for step, indexes := range p.DoneTasks {
		bits, ok := packIndexes(indexes)
		if !ok || len(bits) == 0 {
			u.DoneTasks[step] = indexes
			continue
		}
		if u.DoneBits == nil {
			u.DoneBits = make(map[string][]byte)
		}
		u.DoneBits[step] = bits
	}
	plain, err := json.Marshal(u)
	if err != nil {
		panic(err) // impossible: like Encode
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		panic(err) // impossible: the level is valid
	}
	if _, err := w.Write(plain); err != nil {
		panic(err) // impossible: a buffer accepts all writes
	}
	if err := w.Close(); err != nil {
		panic(err) // impossible, likewise
	}
	state := jobPacked
	if len(p.DoneRanges) > 0 {
		state = jobSparse
	}
	data, err := json.Marshal(packedRow{State: state, Data: packed.Bytes()})
	if err != nil {
		panic(err) // impossible: a string and bytes
	}
	return data
}

// unpackProgress decodes the packed form of progress.
func unpackProgress(data []byte) (Progress, error) {
	var row packedRow
	if err := json.Unmarshal(data, &row); err != nil {
		return Progress{}, errors.Wrap(err, "decode packed progress")
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(row.Data)), maxUnpackedBytes))
	if err != nil {
		return Progress{}, errors.Wrap(err, "unpack progress")
	}
	var u unpackedProgress
	if err := json.Unmarshal(plain, &u); err != nil {
		return Progress{}, errors.Wrap(err, "decode unpacked progress")
	}
	p := u.Progress
	for step, bits := range u.DoneBits {
		if p.DoneTasks == nil {
			p.DoneTasks = make(map[string][]int)
		}
		p.DoneTasks[step] = append(p.DoneTasks[step], unpackIndexes(bits)...)
	}
	return p, nil
}

func packIndexes(indexes []int) (bits []byte, ok bool) {
	for _, i := range indexes {
		if i < 0 || i >= maxBitIndex {
			return nil, false
		}
		for len(bits) <= i/8 {
			bits = append(bits, 0)
		}
		bits[i/8] |= 1 << (i % 8)
	}
	return bits, true
}

func unpackIndexes(bits []byte) []int {
	var indexes []int
	for i := range 8 * len(bits) {
		if bits[i/8]&(1<<(i%8)) != 0 {
			indexes = append(indexes, i)
		}
	}
	return indexes
}
