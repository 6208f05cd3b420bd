package operator

// PathExplainRequest is the path on the metrics address of a gateway that explains where a request
// would go. GET with the parameters host, path, key and timeout_ms, the last two optional; answers
// with a RequestExplanation, with status 400, 404 or 503 if its Error is set.
const PathExplainRequest = "/explain"

// RequestExplanation tells where a gateway would send a request now, and why.
type RequestExplanation struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"` // of the VM
	// Error says why the request can't be routed at all.
	Error         string  `json:"error,omitempty"`
	ConfigVersion *uint64 `json:"config_version,omitempty"` // absent: none is loaded
	// ConfigAgeMS is how long ago the VM's copies of the store's tables were last confirmed;
	// absent: never.
	ConfigAgeMS *int64 `json:"config_age_ms,omitempty"`
	// Coordinator is the address of the VM that assigns keys, empty if unknown.
	Coordinator     string `json:"coordinator,omitempty"`
	CoordinatesKeys bool   `json:"coordinates_keys"` // this VM does
	Isolated        bool   `json:"isolated"`         // the VM can't open connections to servers
	ConnectionsLive bool   `json:"connections_live"` // servers answer on open connections

	Host      string  `json:"host"`
	Path      string  `json:"path"`
	Key       *uint32 `json:"key,omitempty"`
	TimeoutMS int64   `json:"timeout_ms,omitempty"` // 0: not stated

	Route *Route `json:"route,omitempty"` // absent: none matches
	// Services has one entry for each service among which the route splits its requests.
	Services []ServiceExplanation `json:"services,omitempty"`
	// Outcome is set if it does not depend on the service.
	Outcome *RequestOutcome `json:"outcome,omitempty"`
}

// Route is the route of a request.
type Route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Idempotent  bool   `json:"idempotent"`
	ObjectiveMS int64  `json:"objective_ms"` // 0: the default
	TimeoutMS   int64  `json:"timeout_ms"`   // 0: none
	MaxAttempts int    `json:"max_attempts"`
	Rank        int    `json:"rank"`
}

// ServiceExplanation tells what would become of a request to one service.
type ServiceExplanation struct {
	Service      string          `json:"service"`
	Share        float64         `json:"share"` // of the requests of the route
	DividedByKey bool            `json:"divided_by_key"`
	LeftMS       int64           `json:"left_ms"`         // until the deadline
	AgeMS        int64           `json:"age_ms"`          // time since the caller's first attempt, as inferred
	Owner        *KeyOwner       `json:"owner,omitempty"` // of the key
	Candidates   []Candidate     `json:"candidates,omitempty"`
	Omitted      int             `json:"omitted,omitempty"` // candidates left out, worse than the others
	Domains      []ServiceDomain `json:"domains,omitempty"`
	Outcome      RequestOutcome  `json:"outcome"`
}

// ServiceDomain counts the servers of a service in one failure domain.
type ServiceDomain struct {
	Domain     string `json:"domain"`
	Registered int    `json:"registered"`
	Usable     int    `json:"usable"`                 // neither leaving nor evacuated
	Evacuated  *int64 `json:"evacuated_ms,omitempty"` // for how long; absent: it is not
}

// KeyOwner is what the VM knows of the owner of a key.
type KeyOwner struct {
	Server      string `json:"server"`
	Incarnation int64  `json:"incarnation"`
	Token       uint64 `json:"token"`   // of the grant
	Record      uint64 `json:"record"`  // version of the owners record
	Pending     bool   `json:"pending"` // the key moves there; the former owner may still hold it
	// Unusable says why no request is sent to the owner, empty if it may get one.
	Unusable string `json:"unusable,omitempty"`
	// Lease is what the coordinator knows; absent at other VMs.
	Lease *KeyLease `json:"lease,omitempty"`
}

// KeyLease is what the coordinator knows of the lease on a key.
type KeyLease struct {
	Acknowledged   bool   `json:"acknowledged"`              // by the owner
	LeftMS         int64  `json:"left_ms"`                   // until it ends, unless it is renewed
	UnresponsiveMS int64  `json:"unresponsive_ms,omitempty"` // for how long the owner has left grants unanswered
	Former         string `json:"former,omitempty"`          // server that may still hold the key
	FormerLeftMS   int64  `json:"former_left_ms,omitempty"`
	Released       bool   `json:"released,omitempty"` // Former acknowledged a release
}

// Candidate is a server that may run the request.
type Candidate struct {
	Server      string `json:"server"`
	Incarnation int64  `json:"incarnation"`
	Domain      string `json:"domain"`
	Draining    bool   `json:"draining"`
	EvacuatedMS *int64 `json:"evacuated_ms,omitempty"` // for how long its domain is evacuated
	// Withheld is the reason why it may get no request now, empty if it may.
	Withheld string `json:"withheld,omitempty"`
	WaitMS   int64  `json:"wait_ms,omitempty"` // until Withheld ends; 0: unknown
	PauseMS  int64  `json:"pause_ms,omitempty"`

	WarmupLeftMS int64   `json:"warmup_left_ms,omitempty"`
	WarmupRate   float64 `json:"warmup_rate,omitempty"`
	RateLimit    float64 `json:"rate_limit,omitempty"`    // that the server states
	LimitShare   float64 `json:"limit_share,omitempty"`   // of this VM
	LimitWaitMS  int64   `json:"limit_wait_ms,omitempty"` // until this VM's share allows a request

	Load           float64 `json:"load"` // requests that run or wait, as estimated
	Slots          int     `json:"slots"`
	Full           bool    `json:"full"`
	ExpectedMS     int64   `json:"expected_ms"` // latency of the answer
	IdleConnection bool    `json:"idle_connection"`
	FailureLoss    float64 `json:"failure_loss,omitempty"` // through failures lately
	Loss           float64 `json:"loss"`                   // the balancer prefers the least one

	Admission Admission `json:"admission"`
}

// Admission is what would be decided on a request that this server is chosen for.
type Admission struct {
	Outcome      string  `json:"outcome"`
	Admitted     float64 `json:"admitted"` // share of such requests
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
	Reason       string  `json:"reason"`
}

// Action is what a gateway would do with a request.
type Action string

// Actions.
const (
	ActionSend   Action = "send"   // to Server
	ActionRelay  Action = "relay"  // through another VM
	ActionWait   Action = "wait"   // for an owner of the key, and then refuse unless there is one
	ActionRefuse Action = "refuse" // with Status
)

// RequestOutcome is what would become of a request.
type RequestOutcome struct {
	Action       Action `json:"action"`
	Server       string `json:"server,omitempty"`
	Status       int    `json:"status,omitempty"`
	Kind         string `json:"kind,omitempty"` // of the refusal
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	WaitMS       int64  `json:"wait_ms,omitempty"` // at most, for ActionWait
	Reason       string `json:"reason"`
}

// DaemonRequest tells what would become of a request at a daemon.
type DaemonRequest struct {
	Path       string         `json:"path"`
	Class      string         `json:"class"`
	Idempotent bool           `json:"idempotent"`
	TimeoutMS  int64          `json:"timeout_ms"`
	Servers    []DaemonServer `json:"servers,omitempty"` // the owner, or for a request without a key all, the best first
	Omitted    int            `json:"omitted,omitempty"` // servers left out
	Outcome    RequestOutcome `json:"outcome"`
}

// DaemonServer is a server that may run a request, as seen by the answering VM.
type DaemonServer struct {
	ID            string  `json:"id"`
	FailureDomain string  `json:"failure_domain"`
	Draining      bool    `json:"draining"`
	Healthy       bool    `json:"healthy"`
	InFlight      int     `json:"in_flight"`
	Waiting       int     `json:"waiting"`
	Limit         float64 `json:"limit"`             // of requests in flight; 0: none was sent yet
	WaitMS        int64   `json:"wait_ms,omitempty"` // expected for a new request
	Refusal       string  `json:"refusal,omitempty"` // why a new request would be refused
	RefusalKind   string  `json:"refusal_kind,omitempty"`
}
