package platform

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"stoneford/internal/coordinator"
	"stoneford/internal/ports"
)

// churnStore is two databases of one group, which note what they are asked and
// break their connections at random. Each answer names the statement it is of.
type churnStore struct {
	mu       sync.Mutex
	number   int64             // of the newest commit
	texts    map[string]string // by id, as they came
	kept     map[string]int    // how often a write or commit took effect, by id
	breakOff float64           // the share of statements that a connection is broken at
	broken   int
	fault    func(id, answer string) string // planted, or nil
}

func newChurnStore(breakOff float64) *churnStore {
	return &churnStore{number: 1, texts: map[string]string{}, kept: map[string]int{}, breakOff: breakOff}
}

func (s *churnStore) ready(state string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("READY %s 1.%d\r\n", state, s.number)
}

func (s *churnStore) serve(netConn net.Conn, primary bool) {
	defer netConn.Close()
	reader := bufio.NewReader(netConn)
	state := "I"
	for {
		l, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		verb, rest := splitField(strings.TrimSuffix(l, crlf))
		if verb == verbConnect {
			io.WriteString(netConn, s.ready(state))
			continue
		}
		id, text := splitField(rest)
		if strings.HasPrefix(text, textAfter) {
			_, text = splitField(text)
			_, text = splitField(text)
		}
		breakOff := rand.Float64()
		if id != nodeStatementID && breakOff < s.breakOff/3 {
			s.breaks(netConn) // nothing ran
			return
		}
		var answer string
		answer, state = s.run(id, text, state, primary)
		if s.fault != nil {
			answer = s.fault(id, answer)
		}
		answer += s.ready(state)
		switch {
		case id != nodeStatementID && breakOff < s.breakOff*2/3:
			s.breaks(netConn) // it ran
			return
		case id != nodeStatementID && breakOff < s.breakOff:
			io.WriteString(netConn, answer[:rand.IntN(len(answer))])
			s.breaks(netConn)
			return
		}
		if _, err := io.WriteString(netConn, answer); err != nil {
			return
		}
	}
}

func (s *churnStore) breaks(netConn net.Conn) {
	s.mu.Lock()
	s.broken++
	s.mu.Unlock()
	if rand.IntN(2) == 0 {
		netConn.(*net.TCPConn).SetLinger(0)
	}
}

// run runs a statement, and says in which state it leaves the connection.
func (s *churnStore) run(id, text, state string, primary bool) (answer, after string) {
	if id == nodeStatementID {
		switch verb, _ := splitField(text); verb {
		case textAbort:
			state = "I"
		case textStatus, textPause, textResume, textStepDown:
			s.mu.Lock()
			defer s.mu.Unlock()
			role := map[bool]string{true: roleLeader, false: roleFollower}[primary]
			return fmt.Sprintf("ROW %s 1 1.%d 0 0 0 1\r\nCOMPLETE -\r\n", role, s.number), state
		}
		return "COMPLETE -\r\n", state
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.texts[id] = text
	row := ""
	switch verb, thing := splitField(text); verb {
	case textBegin:
		state = "T"
	case textCommit:
		state = "I"
		s.number++
		s.kept[id]++
	case textStore:
		if state == "I" {
			s.number++
		}
		s.kept[id]++
	case textFetch:
		row = "ROW " + id + " " + text + crlf
		if strings.HasPrefix(thing, "long") {
			row += strings.Repeat("ROW "+id+" "+strings.Repeat("x", 500)+crlf, 60)
		}
	}
	return row + verbComplete + " of." + id + crlf, state
}

// churnClient is one caller: session after session, and what it was told.
type churnClient struct {
	t        *testing.T
	front    string
	name     string
	seq      int
	answered int // successes
	report   int // answers that are another's
	sent     map[string]string
}

// statement is the next text with an id of its own.
func (c *churnClient) statement(text string) (id, line string) {
	c.seq++
	id = fmt.Sprintf("%s-%d", c.name, c.seq)
	if text == textFetch || text == textStore {
		text += " " + map[bool]string{true: "long", false: "short"}[rand.IntN(12) == 0] + "-" + id
	}
	if strings.HasPrefix(text, textStore) {
		text += " data of " + id
	}
	c.sent[id] = text
	return id, verbQuery + " " + id + " " + text + crlf
}

// session is one connection, until the caller leaves or is left.
func (c *churnClient) session() {
	netConn, err := net.DialTimeout("tcp", c.front, time.Second)
	if err != nil {
		return
	}
	defer netConn.Close()
	netConn.SetDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(netConn)
	io.WriteString(netConn, "CONNECT shop "+c.name+crlf)
	if l, err := reader.ReadString('\n'); err != nil || !strings.HasPrefix(l, verbReady) {
		return
	}
	for range 1 + rand.IntN(12) {
		texts := [][]string{{textFetch}, {textStore}, {textFetch, textFetch, textFetch}, {textBegin, textFetch, textStore, textCommit}}[rand.IntN(4)]
		var ids []string
		var lines strings.Builder
		for _, text := range texts {
			id, line := c.statement(text)
			ids = append(ids, id)
			lines.WriteString(line)
		}
		io.WriteString(netConn, lines.String())
		if rand.IntN(10) == 0 { // it leaves while they are under way
			if rand.IntN(2) == 0 {
				netConn.(*net.TCPConn).SetLinger(0)
			}
			return
		}
		for _, id := range ids {
			if !c.answer(reader, id) {
				return
			}
		}
	}
}

// answer reads one answer: all that it holds is of the statement with that id.
func (c *churnClient) answer(reader *bufio.Reader, id string) bool {
	for {
		l, err := reader.ReadString('\n')
		if err != nil {
			return false
		}
		verb, rest := splitField(strings.TrimSuffix(l, crlf))
		switch verb {
		case verbRow:
			if of, _ := splitField(rest); of != id {
				c.report++
				return false
			}
		case verbComplete:
			if rest != noValue && rest != "of."+id {
				c.report++
				return false
			}
			c.answered++
		case verbReady:
			return true
		case verbError:
		default:
			c.report++
			return false
		}
	}
}

// churnPorts finds seven ports in a row that are free.
func churnPorts(t *testing.T) (first int) {
	t.Helper()
	for range 50 {
		first = 12_000 + rand.IntN(18_000)
		free := true
		for p := first; p < first+7; p++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if err != nil {
				free = false
				break
			}
			listener.Close()
		}
		if free {
			return first
		}
	}
	t.Fatal("no ports are free")
	return 0
}

const churnTable = `{"Revision":5,"Routes":[{"Name":"r","Host":"shop","PathPrefix":"/","RouteClass":"leader","DeadlineMs":1500,"TargetMs":300,"Backend":"g"}],` +
	`"Backends":[{"Name":"g","ConnLimit":65,"SyncReplicas":1}],"Limits":{"TxnIdleMs":3000}}`

// runChurn runs a control process, a pool node, two databases and many callers for
// a time, and returns what was seen.
func runChurn(t *testing.T, s *churnStore, callers int, d time.Duration) (all []*churnClient) {
	t.Helper()
	first := churnPorts(t)
	at := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", first+n) }
	config := ports.ProcessConfig{Name: "machine-1", Zone: "z", IP: "127.0.0.1", PortFirst: first, PortLast: first + 3, CallerAddress: at(4), ReadinessAddress: at(5), ControlAddress: at(6),
		Seeds: []string{at(6)}, Bootstrap: true, QuorumMember: true, DataFolder: filepath.Join(t.TempDir(), "data"), AnnouncementIntervalUs: 200_000, FileDescriptors: 4000,
		Bounds: ports.TimeBounds{GraceUs: 400_000}}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	cp, err := controlServices(config, coordinator.NewProcess)
	if err != nil {
		t.Fatal(err)
	}
	go func() { ended <- cp.runAll(ctx) }()
	go func() { ended <- poolServices(config).runAll(ctx) }()
	defer func() {
		stop()
		for range 2 {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	}()
	var beats []func()
	for i, id := range []string{"db-1", "db-2"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go func() {
			for {
				netConn, err := listener.Accept()
				if err != nil {
					return
				}
				go s.serve(netConn, i == 0)
			}
		}()
		call := 0
		role := []string{roleLeader, roleFollower}[i]
		beats = append(beats, func() {
			call++
			post(ctx, at(6), pathHeartbeat+id, "", fmt.Sprintf(`{"Backend":"g","Address":%q,"Zone":"z","Capacity":16,"Phase":"ready","DbRole":%q,"CallSeq":%d}`, listener.Addr(), role, call))
		})
	}
	go func() {
		for ctx.Err() == nil {
			for _, beat := range beats {
				beat()
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
	taken := false
	for until := time.Now().Add(20 * time.Second); !taken && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		taken = post(ctx, at(6), pathReplace, "0", churnTable) == nil
	}
	if !taken {
		t.Fatal("the table was not taken")
	}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		netConn := &churnClient{t: t, front: at(4), name: "first", sent: map[string]string{}}
		if netConn.session(); netConn.answered > 0 {
			break
		}
	}
	var calling sync.WaitGroup
	over := time.Now().Add(d)
	for i := range callers {
		netConn := &churnClient{t: t, front: at(4), name: fmt.Sprintf("c%d", i), sent: map[string]string{}}
		all = append(all, netConn)
		calling.Go(func() {
			for time.Now().Before(over) {
				netConn.session()
			}
		})
	}
	calling.Wait()
	return all
}

func post(ctx context.Context, at, path, base, body string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	if base != "" {
		request.Header.Set(headerBase, base)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return nil
}

// TestAnswersUnderFaults: callers that pipeline and leave, databases that break
// their connections before, after and halfway through an answer. No caller is
// ever given another's answer, no text is changed, and no write runs twice.
func TestAnswersUnderFaults(t *testing.T) {
	s := newChurnStore(0.03)
	all := runChurn(t, s, 40, 3*time.Second)
	answered, wrong, sent := 0, 0, map[string]string{}
	for _, c := range all {
		answered += c.answered
		wrong += c.report
		for id, text := range c.sent {
			sent[id] = text
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	twice, changed := 0, 0
	for id, n := range s.kept {
		if n > 1 {
			twice++
		}
		if text, ok := sent[id]; !ok && !strings.HasPrefix(id, "first") || ok && text != s.texts[id] {
			changed++
		}
	}
	t.Logf("%d statements sent, %d answered, %d connections of databases broken", len(sent), answered, s.broken)
	if wrong+twice+changed > 0 {
		t.Errorf("%d answers were another's, %d writes ran twice, %d texts were changed", wrong, twice, changed)
	}
	if answered < 300 || s.broken < 10 {
		t.Error("that is too little to show anything")
	}
}

// TestChurnDetectsForeignAnswer: with a database that now and then says the answer
// of another statement, the callers notice.
func TestChurnDetectsForeignAnswer(t *testing.T) {
	s := newChurnStore(0)
	last := ""
	s.fault = func(id, answer string) string {
		if id == nodeStatementID {
			return answer
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if strings.Contains(answer, verbRow) && rand.IntN(50) == 0 && last != "" {
			return last
		}
		if strings.Contains(answer, verbRow) {
			last = answer
		}
		return answer
	}
	wrong := 0
	for _, c := range runChurn(t, s, 10, time.Second) {
		wrong += c.report
	}
	if wrong == 0 {
		t.Error("nobody noticed")
	}
}
