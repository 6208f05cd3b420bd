package gateway

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"sync"

	"kumquatcleat/internal/membudget"
	"kumquatcleat/internal/rows"
)

// minPackedSize is the size in bytes from which values sent between VMs are compressed.
// A smaller value fits into a few packets either way.
const minPackedSize = 4 << 10

// maxUnpackedBytes bounds all values of a response together after decompression, which
// can expand them a thousandfold.
const maxUnpackedBytes = 16 << 20

// packedValue is the gzip-compressed value of one row of a response.
type packedValue struct {
	Update int    `json:"update"` // index into the response's updates
	Row    int    `json:"row"`    // index into the rows of that update
	Value  []byte `json:"value"`
}

// packer compresses large values and caches the result, so that each version is
// compressed once however many VMs request it. Safe for concurrent use.
type packer struct {
	mu     sync.Mutex              // guards latest
	latest map[rowName]packedEntry // last compressed version of each large row
}

type rowName struct{ table, key string }

type packedEntry struct {
	version uint64
	value   []byte
}

func newPacker() *packer { return &packer{latest: map[rowName]packedEntry{}} }

// pack returns a response with large values compressed. It takes ownership of updates
// and modifies them.
func (p *packer) pack(updates []rows.Update) (updatesAnswer, error) {
	answer := updatesAnswer{Updates: updates}
	for i := range updates {
		for j, row := range updates[i].Page.Rows {
			if len(row.Value) < minPackedSize {
				continue
			}
			value, err := p.packed(updates[i].Table, row)
			if err != nil {
				return answer, err
			}
			updates[i].Page.Rows[j].Value = nil
			answer.Packed = append(answer.Packed, packedValue{Update: i, Row: j, Value: value})
		}
	}
	return answer, nil
}

func (p *packer) packed(table string, row rows.Row) ([]byte, error) {
	name := rowName{table, row.Key}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.latest[name]; known.version == row.Version {
		return known.value, nil
	}
	value, err := compress(row.Value)
	if err != nil {
		// The requesting VM gets this text in the body of the answer.
		return nil, fmt.Errorf("peers: compress row %s of %s: %w", row.Key, table, err)
	}
	p.latest[name] = packedEntry{row.Version, value}
	return value, nil
}

func compress(value []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// unpack decompresses the packed values of a response into their rows.
func (a *updatesAnswer) unpack() error {
	left := int64(maxUnpackedBytes)
	for _, packed := range a.Packed {
		if packed.Update < 0 || packed.Update >= len(a.Updates) ||
			packed.Row < 0 || packed.Row >= len(a.Updates[packed.Update].Page.Rows) {
			return fmt.Errorf("peers: unpack response: row %d of update %d does not exist", packed.Row, packed.Update)
		}
		r, err := gzip.NewReader(bytes.NewReader(packed.Value))
		if err != nil {
			return fmt.Errorf("peers: unpack response: open gzip data: %w", err)
		}
		value, err := membudget.ReadAll(r, -1, left, nil)
		if err != nil {
			return fmt.Errorf("peers: unpack response: decompress value: %w", err)
		}
		left -= int64(len(value))
		a.Updates[packed.Update].Page.Rows[packed.Row].Value = value
	}
	a.Packed = nil
	return nil
}
