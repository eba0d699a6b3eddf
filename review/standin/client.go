//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	callTimeout = 3 * time.Second // X-Deadline-Ms: the client's time budget
	callRetries = 4
)

// step is a step of a job in the body of a submission.
type step struct {
	Count       int
	Cpu         int64
	MemMb       int64
	EstimatedMs int64
	LongRunning bool `json:",omitempty"`
}

// call sends one request of a client and returns the status, or 0 without an answer.
func (d *deployment) call(n *node, method, id string, body any) (int, string) {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		payload = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.frontend+"/plates/"+id, payload)
	if err != nil {
		panic(err)
	}
	r.Host = hostName
	r.Header.Set("Authorization", "Bearer "+tenantKey)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := d.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

func answer(status int) string {
	if status == 0 {
		return "no answer in the time budget"
	}
	return strconv.Itoa(status)
}

// submit hands a job in. It retries at the next node as clients do, and reports whether the job was accepted.
func (d *deployment) submit(id string, first int, steps []step) bool {
	return d.submitBody(id, first, map[string]any{"Specification": "spec " + id, "Steps": steps})
}

func (d *deployment) submitBody(id string, first int, body map[string]any) bool {
	for try := range callRetries + 1 {
		status, _ := d.call(d.nodes[(first+try)%len(d.nodes)], http.MethodPost, id, body)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state returns the state of a job as a node shows it, or what else was answered.
func (d *deployment) state(id string) string {
	last := ""
	for _, n := range d.nodes {
		status, body := d.call(n, http.MethodGet, id, nil)
		if status == http.StatusOK {
			var w struct{ State string }
			if json.Unmarshal([]byte(body), &w) == nil {
				return w.State
			}
		}
		last = answer(status)
	}
	return last
}

func jobID(kind, n int) string { return fmt.Sprintf("%04x%012x", 0xa000+kind, n) }

// running returns the number of runs of a job on all workers, or of all jobs for "".
func (d *deployment) running(job string) int {
	n := 0
	for _, v := range d.workers {
		n += v.running(job)
	}
	return n
}

// startsOf returns how many runs of a job were started on all workers.
func (d *deployment) startsOf(job string) int {
	n := 0
	for _, v := range d.workers {
		n += v.startsOf(job)
	}
	return n
}
