// Package peerwire holds the generated code of the protocol between entry VMs, defined in peer.proto.
package peerwire

//go:generate protoc --proto_path=. --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. peer.proto
