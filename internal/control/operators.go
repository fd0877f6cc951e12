package control

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"

	"github.com/samber/lo"

	"stoneford/internal/settings"
	"stoneford/result"
	"stoneford/schema"
)

const maxBodyBytes = 4 << 20

// Reply is the shape of every return to an operator.
type Reply struct {
	Code          result.Code        `json:"code"`
	Text          string             `json:"text"`
	Detail        string             `json:"detail,omitempty"`
	Partner       string             `json:"partner,omitempty"`
	Revision      uint64             `json:"revision"`
	Configuration json.RawMessage    `json:"configuration,omitempty"`
	Problems      []settings.Problem `json:"problems,omitempty"`
	Applied       map[string]uint64  `json:"applied,omitempty"`
}

func (p *Process) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/configuration", p.getConfiguration)
	m.HandleFunc("PUT /v1/configuration", func(w http.ResponseWriter, r *http.Request) { p.putConfiguration(w, r, false) })
	m.HandleFunc("PATCH /v1/configuration", func(w http.ResponseWriter, r *http.Request) { p.putConfiguration(w, r, true) })
	m.HandleFunc("GET /v1/status", p.status)
	m.HandleFunc("GET /v1/ready", p.ready)
	m.HandleFunc("POST /v1/say", p.handleSentence)
	m.Handle("GET /metrics", p.metrics())
	m.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeReply(w, Reply{Code: result.UnknownPath, Detail: r.Method + " " + r.URL.Path})
	})
	return m
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func writeReply(w http.ResponseWriter, r Reply) {
	r.Text = r.Code.String()
	writeJSON(w, r.Code.Row().HTTP, r)
}

// partner is whose token came with a query.
func (p *Process) partner(w http.ResponseWriter, r *http.Request) (string, bool) {
	t, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	n, ok := (*p.tokens.Load())[t]
	if !ok || !bearer || t == "" {
		writeReply(w, Reply{Code: result.BadOperatorToken})
		return "", false
	}
	if q := r.URL.Query().Get("partner"); q != "" && q != n {
		writeReply(w, Reply{Code: result.NotOwner, Detail: q})
		return "", false
	}
	return n, true
}

func (p *Process) getConfiguration(w http.ResponseWriter, r *http.Request) {
	n, ok := p.partner(w, r)
	if !ok {
		return
	}
	v, ok := await[ConfigurationResult](p, func(id uint64) any { return GetConfiguration{ID: id, Partner: n} })
	if !ok {
		v.Code = result.NoVoterMajority
	}
	out := Reply{Code: v.Code, Partner: n, Revision: v.Revision, Configuration: v.Text}
	if r.URL.Query().Get("applied") != "" {
		p.inspect(func(c *Core, _ int64) { out.Applied = c.AppliedRevisions(ConfigurationKeyPrefix + n) })
	}
	writeReply(w, out)
}

// ConfigurationBody is the body of a change.
type ConfigurationBody struct {
	BasedOn       uint64          `json:"based_on"`
	Configuration json.RawMessage `json:"configuration"`
}

func (p *Process) putConfiguration(w http.ResponseWriter, r *http.Request, patch bool) {
	n, ok := p.partner(w, r)
	if !ok {
		return
	}
	var body ConfigurationBody
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	err := d.Decode(&body)
	if err == nil && len(body.Configuration) == 0 {
		err = errors.New("configuration: required")
	}
	if err != nil {
		writeReply(w, Reply{Code: result.OperatorBadJSON, Detail: err.Error(), Partner: n})
		return
	}
	v, ok := await[ConfigurationResult](p, func(id uint64) any {
		return PutConfiguration{ID: id, Partner: n, Base: body.BasedOn, Patch: patch, DryRun: r.URL.Query().Get("dry_run") != "", Text: body.Configuration}
	})
	if !ok {
		v.Code = result.ChangeUncertain // this process stopped meanwhile
	}
	writeReply(w, Reply{Code: v.Code, Partner: n, Revision: v.Revision, Configuration: v.Text, Problems: v.Problems})
}

// SentenceReply is the return to a sentence.
type SentenceReply struct {
	Code     result.Code                 `json:"code"`
	Text     string                      `json:"text"`
	Return   string                      `json:"return,omitempty"`
	Bookings []*schema.MaintenanceWindow `json:"bookings,omitempty"`
}

// handleSentence takes a sentence of the language.
func (p *Process) handleSentence(w http.ResponseWriter, r *http.Request) {
	n, ok := p.partner(w, r)
	if !ok {
		return
	}
	var body struct {
		Text string `json:"text"`
	}
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10))
	d.DisallowUnknownFields()
	if err := d.Decode(&body); err != nil {
		writeReply(w, Reply{Code: result.OperatorBadJSON, Detail: err.Error(), Partner: n})
		return
	}
	v, ok := await[CommandResult](p, func(id uint64) any { return Command{ID: id, Partner: n, Text: body.Text} })
	if !ok {
		v.Code = result.ChangeUncertain
	}
	writeJSON(w, v.Code.Row().HTTP, SentenceReply{Code: v.Code, Text: v.Code.String(), Return: v.Text, Bookings: v.Bookings})
}

// NodeStatus and GroupStatus are what operators see of the fleet.
type (
	NodeStatus struct {
		Address  string `json:"address"`
		Name     string `json:"name"`
		Kind     string `json:"kind"`
		Zone     string `json:"zone"`
		Partner  string `json:"partner"`
		HTTP     string `json:"http"`
		Alive    bool   `json:"alive"`
		Draining bool   `json:"leaving"`
	}
	GroupStatus struct {
		Name    string                `json:"name"`
		Epoch   uint64                `json:"epoch"`
		Phase   string                `json:"phase"`
		Primary string                `json:"primary"`
		Cause   string                `json:"cause"`
		Leader  string                `json:"duty_holder"`
		Members []*schema.GroupMember `json:"members"`
	}
	Status struct {
		Voting bool `json:"votes"`
		// Majority says that this process reaches a majority of the voters; without
		// it what follows may be old.
		Majority bool          `json:"majority"`
		Nodes    []NodeStatus  `json:"nodes"`
		Groups   []GroupStatus `json:"groups"`
	}
)

func (p *Process) status(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.partner(w, r); !ok {
		return
	}
	s := Status{Nodes: []NodeStatus{}, Groups: []GroupStatus{}}
	p.inspect(func(c *Core, _ int64) {
		s.Voting, s.Majority = c.voting, c.reachesMajority()
		for _, n := range c.Nodes() {
			s.Nodes = append(s.Nodes, NodeStatus{Address: n.Address, Name: n.Name, Kind: n.Kind, Zone: n.Zone, Partner: n.Partner, HTTP: n.HttpAddress, Alive: n.Alive, Draining: n.Draining})
		}
		gs := c.GroupLeaders()
		for _, k := range slices.Sorted(slices.Values(lo.Keys(gs))) {
			g := GroupState(c.Committed(GroupKeyPrefix + k))
			s.Groups = append(s.Groups, GroupStatus{Name: k, Epoch: g.Epoch, Phase: strings.ToLower(g.Phase.String()), Primary: g.Primary, Cause: g.Cause, Leader: gs[k], Members: g.Members})
		}
	})
	writeJSON(w, http.StatusOK, s)
}

func (p *Process) ready(w http.ResponseWriter, r *http.Request) {
	var ok bool
	p.inspect(func(c *Core, _ int64) { ok = c.voting && c.reachesMajority() })
	writeJSON(w, lo.Ternary(ok, http.StatusOK, http.StatusServiceUnavailable), map[string]bool{"ready": ok})
}
