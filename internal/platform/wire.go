package platform

// Paths of the platform's HTTP interface.
const (
	PathRow    = "/v1/table/row"    // GET ?key= : Row, 404
	PathRows   = "/v1/table/rows"   // GET ?prefix= : []Row
	PathCommit = "/v1/table/commit" // POST CommitRequest : CommitAnswer, 409
	PathObject = "/v1/objects/"     // GET, PUT; followed by the object's name
	PathVMs    = "/v1/vms"          // GET : VMsAnswer
)

// CommitRequest is the body of a commit.
type CommitRequest struct {
	Writes []Write `json:"writes"`
}

// CommitAnswer is the answer to a commit that was applied.
type CommitAnswer struct {
	Versions []uint64 `json:"versions"`
}

// VMsAnswer is the answer to a read of the VM list.
type VMsAnswer struct {
	AgeMS int64 `json:"age_ms"`
	VMs   []VM  `json:"vms"`
}
