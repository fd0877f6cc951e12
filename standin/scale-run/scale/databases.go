package scale

import (
	"net/http"
	"sync"

	"stoneford/ports"
)

// Databases are hollow: they announce themselves and say how they stand, hold,
// resume, step down and are promoted, and have nothing in them.
type Databases struct {
	mu  sync.Mutex
	m   map[string]*database
	ids []string
	led map[string]*leader // by group
	// Told counts questions and promotions.
	Told int64
}

type database struct {
	ports.Instance
	held uint64
}

type leader struct {
	id       string
	term     uint64
	number   int64
	promoted int64
}

// NewDatabases makes a shape's; the first of each group leads term 1.
func NewDatabases(s Shape, address string) *Databases {
	d := &Databases{m: map[string]*database{}, led: map[string]*leader{}}
	for g := range s.Groups {
		n := GroupName(g)
		for i := range perGroup {
			id := DatabaseID(g, i)
			d.ids = append(d.ids, id)
			d.m[id] = &database{Instance: ports.Instance{ID: id, Group: n, Address: address, Zone: Zone(g + 2*i), Capacity: 4}}
		}
		d.led[n] = &leader{id: DatabaseID(g, 0), term: 1, number: 1000}
	}
	return d
}

// Announcements is the next word of one in parts of all, the part-th of them;
// with all they come at once.
func (d *Databases) Announcements(part, parts int) []ports.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var is []ports.Instance
	for i, id := range d.ids {
		if i%parts == part {
			is = append(is, d.word(id))
		}
	}
	return is
}

// Announcement is the next word of one.
func (d *Databases) Announcement(id string) ports.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.word(id)
}

func (d *Databases) word(id string) ports.Instance {
	x := d.m[id]
	x.Call++
	x.Primary = d.led[x.Group].id == id
	return x.Instance
}

// SetLeaving has a database say from now on whether it leaves.
func (d *Databases) SetLeaving(id string, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.m[id].Leaving = leaving
}

// Primary is who leads a group, in which term, and when it was promoted.
func (d *Databases) Primary(group string) (id string, term uint64, promotedUs int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.led[group]
	return l.id, l.term, l.promoted
}

// Do puts one op to a database.
func (d *Databases) Do(id string, kind ports.Kind, term uint64) (ports.DatabaseStatus, ports.Code) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Told++
	x := d.m[id]
	if x == nil {
		return ports.DatabaseStatus{}, ports.WrongInstance
	}
	l := d.led[x.Group]
	primary := l.id == id
	switch {
	case kind == ports.Hold && !primary:
		x.held = max(x.held, term)
	case kind == ports.Resume:
		x.held = 0
	}
	return ports.DatabaseStatus{Primary: primary, Term: l.term, Received: ports.Position{Term: l.term, Number: l.number}, Held: x.held}, ports.Done
}

// Promote has a database lead the next term; the status is the platform's.
func (d *Databases) Promote(group, id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Told++
	l, x := d.led[group], d.m[id]
	if l == nil || x == nil || x.Group != group {
		return http.StatusConflict
	}
	if l.id != id {
		l.id, l.term, l.promoted = id, l.term+1, NowUs()
		x.held = 0
	}
	return http.StatusOK
}

// SetAddress has all of them announce another address.
func (d *Databases) SetAddress(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range d.m {
		x.Address = address
	}
}
