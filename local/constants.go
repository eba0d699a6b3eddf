package local

import (
	"maps"
	"slices"
	"time"
)

const (
	stopTimeout = 20 * time.Second

	loopback       = "127.0.0.1:0"
	serversPerRack = 4
	initAuthor     = "init"
)

func sortedKeys(m map[string]string) []string { return slices.Sorted(maps.Keys(m)) }
