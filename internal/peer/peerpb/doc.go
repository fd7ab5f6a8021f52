// Package peerpb holds the generated messages and services of the protocol
// between the system's own processes.
//
// The generated files are committed, so that the build needs no generator.
// Regenerate with protoc, protoc-gen-go v1.36.12 and protoc-gen-go-drpc v1.1.0.
package peerpb

//go:generate sh -c "protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto && sha256sum peer.proto peer.pb.go peer_drpc.pb.go > generated.sha256"
