package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"kumquatcleat/internal/rows"
)

// countedWriter counts the bytes of response bodies.
type countedWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w countedWriter) Write(b []byte) (int, error) {
	w.bytes.Add(int64(len(b)))
	return w.ResponseWriter.Write(b)
}

// largeConfig returns a configuration of 1,400 routes in the platform's format.
func largeConfig() []byte {
	var b bytes.Buffer
	for i := range 1400 {
		fmt.Fprintf(&b, `{"name":"r%d","match":{"prefix":"/idle%d/"},"action":{"service":"s%d","timeoutS":2.5,"maxAttempts":3}},`, i, i*7919, i%4)
	}
	return b.Bytes()
}

// A series of configurations has to fit a narrow link, over which 20 VMs may follow one
// reader. Large rows sent uncompressed, or on a new connection each time, exceed it.
func TestLargeRowsAreSentCompressedOnOneConnection(t *testing.T) {
	reader, config := newTestViewSync(t)
	value := largeConfig()
	config.Replace(rows.Page{Version: 3, Rows: []rows.Row{{Key: "c", Version: 3, Value: value}}})
	var sent, opened atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reader.mux().ServeHTTP(countedWriter{w, &sent}, r)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	follower, copied := newTestViewSync(t)
	from := &peer{name: "reader", address: strings.TrimPrefix(server.URL, "http://")}
	for range 3 {
		answer, err := follower.ask(context.Background(), from, map[string]uint64{}, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		follower.set.Apply(answer.Updates)
	}
	if !bytes.Equal(copied.Row("c").Value, value) || !bytes.Equal(config.Row("c").Value, value) {
		t.Fatal("got a changed value at the reader or its follower, want the original at both")
	}
	if most := int64(3 * len(value) / 4); sent.Load() > most {
		t.Errorf("got %d bytes sent for three copies of %d bytes, want at most %d", sent.Load(), len(value), most)
	}
	if opened.Load() != 1 {
		t.Errorf("got %d connections opened for 3 requests, want 1", opened.Load())
	}
}

// A response whose packed values refer to missing rows or are not gzip data is
// rejected as a whole.
func TestResponseWithInvalidPackedValuesIsRejected(t *testing.T) {
	for _, packed := range []packedValue{{Update: 1}, {Row: 1}, {Update: -1}, {Value: []byte("x")}} {
		answer := updatesAnswer{Updates: []rows.Update{{Page: rows.Page{Rows: []rows.Row{{Key: "c"}}}}}, Packed: []packedValue{packed}}
		if err := answer.unpack(); err == nil {
			t.Errorf("packed value %+v: got no error, want one", packed)
		}
	}
}
