package platform

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"unicode/utf8"

	"stoneford/internal/ports"
)

// changeDigest returns a hash that identifies a change by its content: the call, the number
// in Base-Revision, and the bytes of the body. Connections and other headers do not matter,
// so a change that is sent once more has the same digest. Bodies with different bytes are
// different changes, even if they decode to the same values.
func changeDigest(replace bool, base string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%t\n%s\n", replace, base)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// changeReader decodes a change and collects the problems found in it.
type changeReader struct {
	ports.TableChange
	raw rawChange
}

// problem adds a problem, which is part of the reply to the operator.
func (r *changeReader) problem(format string, args ...any) {
	r.Problems = append(r.Problems, fmt.Sprintf(format, args...))
}

// readChange decodes an operator's change, which is a replacement or an amendment. Each part
// that cannot be decoded adds one of its Problems.
func readChange(replace bool, base string, body []byte) ports.TableChange {
	r := changeReader{TableChange: ports.TableChange{Complete: replace}}
	base = r.readBaseRevision(base)
	r.Digest = changeDigest(replace, base, body)
	if !r.decode(body) {
		return r.TableChange
	}
	r.readItems(r.items())
	return r.TableChange
}

// readBaseRevision decodes the revision that a change is based on, and returns its canonical
// form for the digest.
func (r *changeReader) readBaseRevision(base string) string {
	var err error
	if r.BaseRevision, err = strconv.ParseUint(base, 10, 64); err != nil {
		r.problem("%s: %q is not a revision", headerBase, base)
		return base
	}
	return strconv.FormatUint(r.BaseRevision, 10)
}

// decode decodes the body except for its items. It returns false if the body is not valid
// UTF-8 or JSON.
func (r *changeReader) decode(body []byte) bool {
	if !utf8.Valid(body) {
		r.problem("the body is not UTF-8")
		return false
	}
	if err := json.Unmarshal(body, &r.raw); err != nil {
		r.problem("the body: %v", err)
		return false
	}
	if r.raw.Revision == nil {
		r.problem("Revision: is missing")
	} else {
		r.Revision = *r.raw.Revision
	}
	return true
}

// items returns the items that the change sets. A replacement must have both lists; an
// amendment also lists the items to remove.
func (r *changeReader) items() rawTable {
	if !r.Complete {
		r.RemoveRoutes, r.RemoveGroups = r.raw.Remove.Routes, r.raw.Remove.Backends
		return r.raw.Upsert
	}
	if r.raw.Routes == nil {
		r.problem("Routes: are missing")
	}
	if r.raw.Backends == nil {
		r.problem("Backends: are missing")
	}
	return r.raw.rawTable
}

// readItems decodes the routes, the groups and the limits.
func (r *changeReader) readItems(items rawTable) {
	for i, data := range items.Routes {
		route, err := readRoute(data)
		if err != nil {
			r.problem("route %d: %v", i+1, err)
			continue
		}
		r.Routes = append(r.Routes, route)
	}
	for i, data := range items.Backends {
		group, err := readGroup(data)
		if err != nil {
			r.problem("service %d: %v", i+1, err)
			continue
		}
		r.Groups = append(r.Groups, group)
	}
	if len(r.raw.Limits) == 0 {
		return
	}
	limits, err := readLimits(r.raw.Limits)
	if err != nil {
		r.problem("Limits: %v", err)
	}
	r.Limits = &limits
}
