package coordinator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"stoneford/internal/ports"
	"stoneford/result"
)

// MovesPath is the HTTP path of moves between sites. GET lists them, POST requests one,
// and DELETE of MovesPath/GROUP cancels a staged one.
const MovesPath = "/v1/moves"

const (
	// moveRequestTimeout limits an operator's HTTP request. It is longer than moveTimeout,
	// so that the reply contains the outcome of the move.
	moveRequestTimeout = 6 * time.Second
	// maxMoveRequestBytes limits the body of a POST.
	maxMoveRequestBytes = 64 << 10
)

// MoveRequest is the JSON body of a POST to MovesPath.
type MoveRequest struct {
	Group string `json:"group"`
	Site  string `json:"site"` // a zone or a region
}

// MoveReply is the JSON body of every reply to a request for MovesPath.
type MoveReply struct {
	Code          result.Code `json:"code"`
	Text          string      `json:"text"`
	Problem       string      `json:"problem,omitempty"`
	TableRevision uint64      `json:"table,omitempty"` // register revision of the routing table that names the site
	Moves         []MoveState `json:"moves,omitempty"`
}

// MountMoves registers the handlers of MovesPath on a mux.
func (p *Process) MountMoves(mux *http.ServeMux) {
	mux.HandleFunc("GET "+MovesPath, p.serveMoves)
	mux.HandleFunc("POST "+MovesPath, p.serveMoveRequest)
	mux.HandleFunc("DELETE "+MovesPath+"/{group}", p.serveMoveCancellation)
}

// serveMoves lists the moves. Without contact with a majority the list may be empty or out of
// date, and the reply has code NoVoterMajority.
func (p *Process) serveMoves(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), moveRequestTimeout)
	defer cancel()
	moves, ok := p.Moves(ctx)
	if !ok {
		writeReply(w, MoveReply{Code: result.NoVoterMajority, Moves: moves})
		return
	}
	writeReply(w, MoveReply{Code: result.OK, Moves: moves})
}

// serveMoveRequest requests the move that the body describes.
func (p *Process) serveMoveRequest(w http.ResponseWriter, r *http.Request) {
	var request MoveRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMoveRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil || request.Group == "" || request.Site == "" {
		writeReply(w, MoveReply{Code: result.OperatorBadJSON, Problem: `the body is {"group": "...", "site": "..."}`})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), moveRequestTimeout)
	defer cancel()
	writeMoveResult(w, p.Move(ctx, request.Group, request.Site))
}

// serveMoveCancellation cancels the staged move of the group in the path.
func (p *Process) serveMoveCancellation(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), moveRequestTimeout)
	defer cancel()
	writeMoveResult(w, p.CancelMove(ctx, r.PathValue("group")))
}

// moveCodes maps the outcome of a request to its result code.
var moveCodes = map[ports.Outcome]result.Code{
	ports.Committed:   result.OK,
	ports.Stale:       result.WrongState,
	ports.Invalid:     result.NotFound,
	ports.Unavailable: result.ChangeUncertain,
}

func writeMoveResult(w http.ResponseWriter, r MoveResult) {
	writeReply(w, MoveReply{Code: moveCodes[r.Outcome], Problem: r.Problem, TableRevision: r.TableRevision})
}

// writeReply writes a reply with the text and the HTTP status of its code.
func writeReply(w http.ResponseWriter, reply MoveReply) {
	row := reply.Code.Row()
	reply.Text = row.Meaning
	body, err := json.Marshal(reply)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(row.HTTP)
	w.Write(append(body, '\n'))
}
