package retry

// Position is how far a VM knows the changes of another one's quarantine.
type Position struct {
	Process string `json:"process,omitempty"` // run of the other VM's process
	Change  uint64 `json:"change,omitempty"`
}

// SuspectsReport is what a VM tells the coordinator of its quarantine.
type SuspectsReport struct {
	Suspects []Suspect `json:"suspects,omitempty"`
	Known    Position  `json:"known,omitzero"` // of the coordinator
}

// SuspectsAnswer is the coordinator's answer.
type SuspectsAnswer struct {
	Suspects []Suspect `json:"suspects,omitempty"`
	Known    Position  `json:"known,omitzero"` // of the coordinator, after these suspects
}

// maxSuspects is about how many suspects a message holds. The next one has the rest.
const maxSuspects = 200

// Exchange shares the quarantine of a VM with those of all others through the coordinator, which
// adds up the losses that different VMs saw. All suspects go to the coordinator, and only those
// that are refused come back from it: most losses are of harmless requests that happened to
// run on a server as it ended.
//
// A VM that does not reach the coordinator posts in the store what it could not report, and the
// coordinator posts what is refused: each VM reads there what all others posted. Not safe for
// concurrent use.
type Exchange struct {
	quarantine *MemoryQuarantine
	sent       Position // own changes that the coordinator with this process has
	known      Position // changes of the coordinator that this VM has
	failed     bool     // the last report was not delivered
}

// NewExchange returns an exchange that nothing has gone through yet.
func NewExchange(q *MemoryQuarantine) *Exchange { return &Exchange{quarantine: q} }

// Report returns what to tell the coordinator, and the own change that it includes.
func (e *Exchange) Report() (SuspectsReport, uint64) {
	suspects, change := e.quarantine.Since(e.sent.Change, maxSuspects, false)
	return SuspectsReport{Suspects: suspects, Known: e.known}, change
}

// Delivered applies the coordinator's answer to a report that included the changes up to change.
func (e *Exchange) Delivered(change uint64, answer SuspectsAnswer) {
	if e.sent.Process != answer.Known.Process {
		change = 0 // another coordinator: it may lack what the last one had
	}
	e.failed = false
	e.sent, e.known = Position{Process: answer.Known.Process, Change: change}, answer.Known
	e.quarantine.Merge(answer.Suspects)
}

// Failed records that a report was not delivered.
func (e *Exchange) Failed() { e.failed = true }

// Post is what a VM keeps in the store for all others. Posts with the same number are equal but
// for the time that has passed.
type Post struct {
	Suspects []Suspect
	Change   uint64
}

// maxPosted is about how many suspects a post holds, the ones that changed last.
const maxPosted = 30

// Post returns what to keep in the store now, nothing if other VMs learn it otherwise.
func (e *Exchange) Post(coordinates bool) Post {
	switch {
	case coordinates:
		return e.quarantine.post(0, true)
	case e.failed:
		return e.quarantine.post(e.sent.Change, false)
	}
	return Post{}
}

// Answer merges a VM's report into the coordinator's quarantine and returns the answer. process
// is the run of the coordinator's process.
func Answer(q *MemoryQuarantine, process string, report SuspectsReport) SuspectsAnswer {
	q.Merge(report.Suspects)
	after := report.Known.Change
	if report.Known.Process != process {
		after = 0
	}
	suspects, change := q.Since(after, maxSuspects, true)
	return SuspectsAnswer{Suspects: suspects, Known: Position{Process: process, Change: change}}
}
