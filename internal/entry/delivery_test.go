package entry

import (
	"bytes"
	"io"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against logs that name other requests than those whose answers are lost.
func TestUndeliveredAnswersAreNamed(t *testing.T) {
	for name, c := range map[string]struct {
		written        []int // of answers of 100 bytes each
		unacknowledged int
		want           []string
	}{
		"all acknowledged":               {[]int{100, 100, 100}, 0, nil},
		"the end of the last one is not": {[]int{100, 100, 100}, 1, []string{"3"}},
		"two are not":                    {[]int{100, 100, 100}, 101, []string{"2", "3"}},
		"the last one is being written":  {[]int{100, 40}, 0, []string{"2"}},
		"the same, 60 bytes are not":     {[]int{100, 40}, 60, []string{"1", "2"}},
	} {
		t.Run(name, func(t *testing.T) {
			var d delivery
			for i, n := range c.written {
				d.begin(string(rune('1'+i)), 100)
				d.wrote(n)
			}
			if got := d.undelivered(c.unacknowledged); !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if again := d.undelivered(1000); len(c.want) > 0 && again != nil {
				t.Errorf("named %q once more", again)
			}
		})
	}
}

func TestConnectionRemembersLastAnswersOnly(t *testing.T) {
	var d delivery
	for range 10 * maxTrackedAnswers {
		d.begin("id", 1)
		d.wrote(1)
	}
	if got := len(d.undelivered(1000)); got != maxTrackedAnswers {
		t.Errorf("got %d requests, want %d", got, maxTrackedAnswers)
	}
}

// Guards against a large answer that is cut because a caller who reads slowly, but steadily, takes
// longer for all of it than a caller who reads nothing may take.
func TestLargeAnswerIsWrittenToSteadyReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		c := &callerConn{Conn: near}
		answer := bytes.Repeat([]byte("a"), 5*writeChunk)
		failed := make(chan error, 1)
		go func() {
			failed <- c.writeAll(answer)
			_ = near.Close()
		}()
		var got bytes.Buffer
		for {
			_, err := io.CopyN(&got, far, 16<<10)
			if err != nil {
				break
			}
			time.Sleep(writeTimeout / 5)
		}
		if err := <-failed; err != nil || !bytes.Equal(got.Bytes(), answer) {
			t.Errorf("wrote %d of %d bytes, %v; want all", got.Len(), len(answer), err)
		}
	})
}

func TestWriteToCallerThatDoesNotReadFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		began := time.Now()
		if err := (&callerConn{Conn: near}).writeAll(make([]byte, 100)); !isTimeout(err) || time.Since(began) != writeTimeout {
			t.Errorf("got error %v after %v, want a timeout after %v", err, time.Since(began), writeTimeout)
		}
	})
}
