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

// countedWriter counts the bytes of answers' bodies.
type countedWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w countedWriter) Write(b []byte) (int, error) {
	w.bytes.Add(int64(len(b)))
	return w.ResponseWriter.Write(b)
}

// largeConfig is a configuration of 1,400 routes, as the platform spells it.
func largeConfig() []byte {
	var b bytes.Buffer
	for i := range 1400 {
		fmt.Fprintf(&b, `{"name":"r%d","match":{"prefix":"/idle%d/"},"action":{"service":"s%d","timeoutS":2.5,"maxAttempts":3}},`, i, i*7919, i%4)
	}
	return b.Bytes()
}

// A series of configurations has to fit a narrow link: 20 VMs follow one reader.
func TestLargeRowsTravelCompressed(t *testing.T) {
	reader, config := newTestExchange(t)
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
	follower, copied := newTestExchange(t)
	from := &peer{name: "reader", address: strings.TrimPrefix(server.URL, "http://")}
	for range 3 {
		answer, err := follower.ask(context.Background(), from, map[string]uint64{}, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		follower.set.Apply(answer.Updates)
	}
	if !bytes.Equal(copied.Row("c").Value, value) || !bytes.Equal(config.Row("c").Value, value) {
		t.Fatal("the value changed on the way")
	}
	if most := int64(3 * len(value) / 4); sent.Load() > most {
		t.Errorf("%d bytes sent for three times %d, want at most %d", sent.Load(), len(value), most)
	}
	if opened.Load() != 1 {
		t.Errorf("%d connections opened for 3 questions, want 1", opened.Load())
	}
}

// An answer that names a row it does not have is refused, not applied in part.
func TestAnswersWithUnknownRowsAreRefused(t *testing.T) {
	for _, packed := range []packedValue{{Update: 1}, {Row: 1}, {Update: -1}, {Value: []byte("x")}} {
		answer := updatesAnswer{Updates: []rows.Update{{Page: rows.Page{Rows: []rows.Row{{Key: "c"}}}}}, Packed: []packedValue{packed}}
		if err := answer.unpack(); err == nil {
			t.Errorf("%+v was taken", packed)
		}
	}
}
