package coordinator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"stoneford/internal/ports"
	"stoneford/result"
)

// MovesPath is where operators ask for moves between sites: GET lists them, POST
// asks for one, DELETE of MovesPath/GROUP takes one back that is staged.
const MovesPath = "/v1/moves"

const (
	moveRequestTimeout  = 6 * time.Second
	maxMoveRequestBytes = 64 << 10
)

// MoveRequest is the body of a POST.
type MoveRequest struct {
	Group string `json:"group"`
	Site  string `json:"site"` // a zone or a region
}

// MoveReply is what operators are told.
type MoveReply struct {
	Code    result.Code `json:"code"`
	Text    string      `json:"text"`
	Problem string      `json:"problem,omitempty"`
	Table   uint64      `json:"table,omitempty"`
	Moves   []MoveState `json:"moves,omitempty"`
}

// movesRequest asks the loop for the moves.
type movesRequest struct{ id uint64 }

// movesReply ends a movesRequest: the moves as this process knows them, and whether
// it is in contact with a majority.
type movesReply struct {
	moves   []MoveState
	contact bool
}

// Move asks that a group's primary serve at another site.
func (p *Process) Move(ctx context.Context, group, site string) MoveResult {
	v, _ := p.call(ctx, func(id uint64) any { return Move{ID: id, Group: group, Site: site} }).(MoveDone)
	return v.Result
}

// CancelMove takes a move back that is staged.
func (p *Process) CancelMove(ctx context.Context, group string) MoveResult {
	v, _ := p.call(ctx, func(id uint64) any { return CancelMove{ID: id, Group: group} }).(MoveDone)
	return v.Result
}

// Moves are the placements and how they stand, as this process knows, and whether
// it is in contact with a majority.
func (p *Process) Moves(ctx context.Context) ([]MoveState, bool) {
	v, ok := p.call(ctx, func(id uint64) any { return movesRequest{id} }).(movesReply)
	return v.moves, ok && v.contact
}

// MountMoves puts the moves' handlers on an operators' mux.
func (p *Process) MountMoves(m *http.ServeMux) {
	m.HandleFunc("GET "+MovesPath, func(w http.ResponseWriter, r *http.Request) {
		ctx, stop := context.WithTimeout(r.Context(), moveRequestTimeout)
		defer stop()
		ms, ok := p.Moves(ctx)
		if !ok {
			writeReply(w, MoveReply{Code: result.NoVoterMajority, Moves: ms})
			return
		}
		writeReply(w, MoveReply{Code: result.OK, Moves: ms})
	})
	m.HandleFunc("POST "+MovesPath, func(w http.ResponseWriter, r *http.Request) {
		var a MoveRequest
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMoveRequestBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&a); err != nil || a.Group == "" || a.Site == "" {
			writeReply(w, MoveReply{Code: result.OperatorBadJSON, Problem: `the body is {"group": "...", "site": "..."}`})
			return
		}
		ctx, stop := context.WithTimeout(r.Context(), moveRequestTimeout)
		defer stop()
		writeMoveResult(w, p.Move(ctx, a.Group, a.Site))
	})
	m.HandleFunc("DELETE "+MovesPath+"/{group}", func(w http.ResponseWriter, r *http.Request) {
		ctx, stop := context.WithTimeout(r.Context(), moveRequestTimeout)
		defer stop()
		writeMoveResult(w, p.CancelMove(ctx, r.PathValue("group")))
	})
}

func writeMoveResult(w http.ResponseWriter, r MoveResult) {
	c := map[ports.Outcome]result.Code{ports.Committed: result.OK, ports.Stale: result.WrongState, ports.Invalid: result.NotFound,
		ports.Unavailable: result.ChangeUncertain}[r.Outcome]
	writeReply(w, MoveReply{Code: c, Problem: r.Problem, Table: r.Table})
}

func writeReply(w http.ResponseWriter, r MoveReply) {
	row := r.Code.Row()
	r.Text = row.Meaning
	b, err := json.Marshal(r)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(row.HTTP)
	w.Write(append(b, '\n'))
}
