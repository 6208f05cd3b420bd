package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/operator"
)

// requestOptions describe a request to be explained by a gateway.
type requestOptions struct {
	gateway, host, path, key string
}

func (q *requestOptions) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&q.gateway, "gateway", "", "metrics_listen address of a gateway, IP:port")
	cmd.Flags().StringVar(&q.host, "host", "", "host of the request, with --gateway")
	cmd.Flags().StringVar(&q.path, "path", "", "path of the request, also with its query")
	cmd.Flags().StringVar(&q.key, "key", "", "key of the request, with --gateway")
}

// explainRequestTimeout bounds the call to a gateway, whose flag --timeout is the time that the
// caller of the request states.
const explainRequestTimeout = defaultTimeout

// explainRequest prints where a gateway would send a request.
func explainRequest(cmd *cobra.Command, o *options, q *requestOptions) error {
	if err := checkAddress("--gateway", q.gateway); err != nil {
		return err
	}
	query := url.Values{"host": {q.host}, "path": {q.path}}
	if cmd.Flags().Changed("key") {
		query.Set("key", q.key)
	}
	if cmd.Flags().Changed("timeout") {
		query.Set("timeout_ms", strconv.FormatInt(o.timeout.Milliseconds(), 10))
	}
	o.timeout = explainRequestTimeout
	ctx, cancel := o.withTimeout(cmd)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+q.gateway+operator.PathExplainRequest+"?"+query.Encode(), nil)
	if err != nil {
		return fault.Wrap(fault.BadRequest, err, "build request to gateway %s", q.gateway)
	}
	resp, err := newHTTPClient().Do(req)
	if err != nil {
		return gatewayError("gateway %s did not answer: %w", q.gateway, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return gatewayError("read response of gateway %s: %w", q.gateway, err)
	}
	var e operator.RequestExplanation
	if json.Unmarshal(data, &e) != nil || e.VM == "" {
		return gatewayError("gateway %s answered %d: %.*q", q.gateway, resp.StatusCode, maxQuotedBytes, data)
	}
	if o.asJSON {
		err = printJSON(cmd.OutOrStdout(), e)
	} else {
		err = printRequest(cmd.OutOrStdout(), e)
	}
	if err != nil || e.Error == "" {
		return err
	}
	failure := &ExitError{Code: ExitFailed, Err: errors.New(e.Error)}
	if resp.StatusCode == http.StatusBadRequest {
		failure.Code, failure.Next = ExitUsage, "see 'kumquatcleat explain --help'"
	}
	return failure
}

// gatewayError returns the error for a gateway that gave no usable response.
func gatewayError(format string, args ...any) error {
	return &ExitError{Code: ExitFailed, Err: fmt.Errorf(format, args...), Next: "check --gateway: it must be the metrics_listen address of a gateway"}
}

// printRequest prints an explanation for people.
func printRequest(out io.Writer, e operator.RequestExplanation) error {
	w := newTable(out)
	line := func(name, format string, args ...any) { _, _ = fmt.Fprintf(w, name+"\t"+format+"\n", args...) }
	line("VM", "%s in domain %s", e.VM, e.FailureDomain)
	if e.ConfigVersion != nil {
		line("configuration", "version %d%s", *e.ConfigVersion, optionalMS(", confirmed %v ago", e.ConfigAgeMS))
	}
	if e.Isolated {
		line("isolated", "can't open connections to servers; open ones answer: %t", e.ConnectionsLive)
	}
	if r := e.Route; r != nil {
		line("route", "%s: %s%s, idempotent %t, objective %v, timeout %v, %d attempts, rank %d",
			r.Name, r.Host, r.Prefix, r.Idempotent, asMS(r.ObjectiveMS), asMS(r.TimeoutMS), r.MaxAttempts, r.Rank)
	}
	if e.Outcome != nil {
		line("outcome", "%s", describeOutcome(*e.Outcome))
	}
	for _, s := range e.Services {
		_, _ = fmt.Fprintln(w)
		line("service", "%s, %.0f %% of the route's requests, divided by key: %t", s.Service, 100*s.Share, s.DividedByKey)
		line("outcome", "%s", describeOutcome(s.Outcome))
		if o := s.Owner; o != nil {
			line("owner", "%s, incarnation %d, token %d, record %d, moving there: %t", o.Server, o.Incarnation, o.Token, o.Record, o.Pending)
			if o.Unusable != "" {
				line("", "unusable: %s", o.Unusable)
			}
			if l := o.Lease; l != nil {
				line("lease", "%v left, acknowledged %t, unanswered for %v", asMS(l.LeftMS), l.Acknowledged, asMS(l.UnresponsiveMS))
				if l.Former != "" {
					line("", "former owner %s: %v left, released %t", l.Former, asMS(l.FormerLeftMS), l.Released)
				}
			}
			line("coordinator", "%s, this VM: %t", orNone(e.Coordinator), e.CoordinatesKeys)
		}
		line("left", "%v, first attempt %v ago", asMS(s.LeftMS), asMS(s.AgeMS))
		for _, d := range s.Domains {
			line("domain", "%s: %d of %d servers usable%s", d.Domain, d.Usable, d.Registered, optionalMS(", evacuated for %v", d.Evacuated))
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, s := range e.Services {
		if err := printCandidates(out, s); err != nil {
			return err
		}
	}
	return nil
}

func printCandidates(out io.Writer, s operator.ServiceExplanation) error {
	if len(s.Candidates) == 0 {
		return nil
	}
	w := newTable(out)
	_, _ = fmt.Fprintf(w, "\n%s\tDOMAIN\tLOAD\tSLOTS\tEXPECTED\tLOSS\tIDLE CONN\tADMITTED\tSTATE\n", strings.ToUpper(s.Service))
	for _, c := range s.Candidates {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.1f\t%d\t%v\t%.2f\t%t\t%.0f %%\t%s\n", c.Server, c.Domain, c.Load, c.Slots, asMS(c.ExpectedMS), c.Loss,
			c.IdleConnection, 100*c.Admission.Admitted, describeState(c))
	}
	if s.Omitted > 0 {
		_, _ = fmt.Fprintf(w, "and %d more\n", s.Omitted)
	}
	return w.Flush()
}

// describeState names what keeps a server from getting requests, or "ok".
func describeState(c operator.Candidate) string {
	var parts []string
	add := func(applies bool, format string, args ...any) {
		if applies {
			parts = append(parts, fmt.Sprintf(format, args...))
		}
	}
	wait := "unknown time"
	if c.WaitMS > 0 {
		wait = asMS(c.WaitMS).String()
	}
	add(c.Withheld != "", "withheld: %s, for %s", c.Withheld, wait)
	add(c.Draining, "draining")
	add(c.EvacuatedMS != nil, "domain%s", optionalMS(" evacuated for %v", c.EvacuatedMS))
	add(c.PauseMS > 0, "paused for %v", asMS(c.PauseMS))
	add(c.WarmupLeftMS > 0, "cold for %v, %.1f/s", asMS(c.WarmupLeftMS), c.WarmupRate)
	add(c.RateLimit > 0, "limit %.1f/s", c.RateLimit)
	add(c.LimitShare > 0 || c.LimitWaitMS > 0, "share %.2f, next request in %v", c.LimitShare, asMS(c.LimitWaitMS))
	add(c.Full, "full")
	add(c.FailureLoss > 0, "failed lately")
	if len(parts) == 0 {
		return "ok"
	}
	return strings.Join(parts, "; ")
}

func describeOutcome(o operator.RequestOutcome) string {
	text := string(o.Action)
	switch o.Action {
	case operator.ActionSend:
		text += " to " + o.Server
	case operator.ActionWait:
		text += fmt.Sprintf(" up to %v, then refuse with %d %s", asMS(o.WaitMS), o.Status, o.Kind)
	case operator.ActionRefuse:
		text += fmt.Sprintf(" with %d %s", o.Status, o.Kind)
	}
	if o.RetryAfterMS > 0 {
		text += fmt.Sprintf(", retry after about %v", asMS(o.RetryAfterMS))
	}
	return text + ": " + o.Reason
}

func asMS(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// optionalMS formats a duration, or nothing if it is unknown.
func optionalMS(format string, ms *int64) string {
	if ms == nil {
		return ""
	}
	return fmt.Sprintf(format, asMS(*ms))
}
