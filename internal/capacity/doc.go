// Package capacity measures the slopes from which docs/CAPACITY.md works out what
// each role costs at the size to design for. It holds benchmarks only:
//
//	go test -run '^$' -bench . -benchtime 200ms ./internal/capacity
//
// A benchmark named after a size reports it as the metric of that name.
package capacity
