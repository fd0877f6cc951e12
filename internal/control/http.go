package control

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"stoneford/internal/settings"
	"stoneford/result"
	"stoneford/schema"
)

const (
	maxBodyBytes    = 4 << 20  // limit for the body of a configuration change
	maxCommandBytes = 64 << 10 // limit for the body of a command
)

// Reply is the body of a reply about a configuration, and of the rejection of any request
// before it reaches the core.
type Reply struct {
	Code          result.Code        `json:"code"`
	Text          string             `json:"text"` // description of Code
	Detail        string             `json:"detail,omitempty"`
	Partner       string             `json:"partner,omitempty"`
	Revision      uint64             `json:"revision"`
	Configuration json.RawMessage    `json:"configuration,omitempty"`
	Problems      []settings.Problem `json:"problems,omitempty"`
	Applied       map[string]uint64  `json:"applied,omitempty"` // revision in force, by process name
}

// ConfigurationBody is the body of a request to change a configuration.
type ConfigurationBody struct {
	BasedOn       uint64          `json:"based_on"`
	Configuration json.RawMessage `json:"configuration"` // complete, or a merge patch
}

// CommandBody is the body of an operator command.
type CommandBody struct {
	Text string `json:"text"`
}

// CommandReply is the body of the reply to an operator command that reached the core,
// whether it succeeded or failed.
type CommandReply struct {
	Code    result.Code                 `json:"code"`
	Text    string                      `json:"text"` // description of Code
	Result  string                      `json:"return,omitempty"`
	Windows []*schema.MaintenanceWindow `json:"bookings,omitempty"`
}

// handler returns the handler of the operators' HTTP interface (docs/operating.md).
func (p *Process) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/configuration", p.serveConfiguration)
	m.HandleFunc("PUT /v1/configuration", func(w http.ResponseWriter, r *http.Request) { p.serveChange(w, r, false) })
	m.HandleFunc("PATCH /v1/configuration", func(w http.ResponseWriter, r *http.Request) { p.serveChange(w, r, true) })
	m.HandleFunc("GET /v1/status", p.serveStatus)
	m.HandleFunc("GET /v1/ready", p.serveReady)
	m.HandleFunc("POST /v1/say", p.serveCommand)
	m.Handle("GET /metrics", p.metrics())
	m.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeReply(w, Reply{Code: result.UnknownPath, Detail: r.Method + " " + r.URL.Path})
	})
	return m
}

// writeJSON writes a JSON body. It ignores write errors, since they mean that the caller
// has disconnected.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeReply(w http.ResponseWriter, r Reply) {
	r.Text = r.Code.String()
	writeJSON(w, r.Code.Row().HTTP, r)
}

// readBody decodes a JSON body and rejects unknown fields.
func readBody(body io.Reader, v any) error {
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// partner returns the partner that a request's token belongs to. If the token is missing
// or unknown, or the request names another partner, partner writes the error reply and
// returns false.
func (p *Process) partner(w http.ResponseWriter, r *http.Request) (string, bool) {
	token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	partner, known := (*p.tokens.Load())[token]
	if !known || !bearer || token == "" {
		writeReply(w, Reply{Code: result.BadOperatorToken})
		return "", false
	}
	if named := r.URL.Query().Get("partner"); named != "" && named != partner {
		writeReply(w, Reply{Code: result.NotOwner, Detail: named})
		return "", false
	}
	return partner, true
}

func (p *Process) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	partner, ok := p.partner(w, r)
	if !ok {
		return
	}
	v, ok := await[ConfigurationResult](p, func(id uint64) Event { return GetConfiguration{ID: id, Partner: partner} })
	if !ok {
		v.Code = result.NoVoterMajority
	}
	reply := Reply{Code: v.Code, Partner: partner, Revision: v.Revision, Configuration: v.Text}
	if r.URL.Query().Get("applied") != "" {
		p.inspect(func(c *Core, _ int64) { reply.Applied = c.AppliedRevisions(ConfigurationKeyPrefix + partner) })
	}
	writeReply(w, reply)
}

func (p *Process) serveChange(w http.ResponseWriter, r *http.Request, patch bool) {
	partner, ok := p.partner(w, r)
	if !ok {
		return
	}
	var body ConfigurationBody
	err := readBody(http.MaxBytesReader(w, r.Body, maxBodyBytes), &body)
	if err == nil && len(body.Configuration) == 0 {
		err = errors.New("configuration: required")
	}
	if err != nil {
		writeReply(w, Reply{Code: result.OperatorBadJSON, Detail: err.Error(), Partner: partner})
		return
	}
	dryRun := r.URL.Query().Get("dry_run") != ""
	v, ok := await[ConfigurationResult](p, func(id uint64) Event {
		return PutConfiguration{ID: id, Partner: partner, BaseRevision: body.BasedOn, Patch: patch, DryRun: dryRun, Text: body.Configuration}
	})
	if !ok {
		v.Code = result.ChangeUncertain // the process stopped during the change
	}
	writeReply(w, Reply{Code: v.Code, Partner: partner, Revision: v.Revision, Configuration: v.Text, Problems: v.Problems})
}

func (p *Process) serveCommand(w http.ResponseWriter, r *http.Request) {
	partner, ok := p.partner(w, r)
	if !ok {
		return
	}
	var body CommandBody
	if err := readBody(http.MaxBytesReader(w, r.Body, maxCommandBytes), &body); err != nil {
		writeReply(w, Reply{Code: result.OperatorBadJSON, Detail: err.Error(), Partner: partner})
		return
	}
	v, ok := await[CommandResult](p, func(id uint64) Event { return Command{ID: id, Partner: partner, Text: body.Text} })
	if !ok {
		v.Code = result.ChangeUncertain
	}
	writeJSON(w, v.Code.Row().HTTP, CommandReply{Code: v.Code, Text: v.Code.String(), Result: v.Text, Windows: v.Windows})
}
