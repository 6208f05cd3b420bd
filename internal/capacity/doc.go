// Package capacity measures how the costs of each role grow with the size of the
// system. docs/CAPACITY.md extrapolates from them to the size to design for. The
// package contains only benchmarks:
//
//	go test -run '^$' -bench . -benchtime 200ms ./internal/capacity
//
// Sizes in bytes are reported as metrics such as state-bytes and row-bytes.
package capacity
