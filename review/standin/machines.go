//go:build review

package main

import (
	"net"
	"net/http"
)

// machines is a stand-in of the platform's interface to machines. No machine moves or is maintained in these cases, so it
// answers such calls as an interface whose machines are all busy.
type machines struct {
	workers []*worker
	address string
}

func (m *machines) listen() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", func(w http.ResponseWriter, _ *http.Request) {
		listed := make([]map[string]any, 0, len(m.workers))
		for _, v := range m.workers {
			listed = append(listed, map[string]any{
				"Machine": v.machine, "Pool": v.pool, "State": "up", "Zone": v.zone, "Id": v.id, "Labels": []string{"a", v.rack},
				"Capacity": map[string]int64{"Cpu": v.milliCores, "MemMb": v.memoryMB, "Gpu": 0},
			})
		}
		respond(w, http.StatusOK, map[string]any{"Machines": listed, "NextPageToken": nil})
	})
	busy := func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusConflict, map[string]any{"Reason": "busy"})
	}
	mux.HandleFunc("POST /api/machine-move", busy)
	mux.HandleFunc("POST /api/machine-upkeep", busy)
	go func() { _ = http.Serve(l, mux) }()
	return nil
}
