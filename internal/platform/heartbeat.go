package platform

import (
	"encoding/json"
	"fmt"

	"stoneford/internal/ports"
)

// phaseDraining is the phase in the heartbeats of a draining database.
const phaseDraining = "draining"

// rawHeartbeat is a database's heartbeat in the platform's format.
type rawHeartbeat struct {
	Backend      string `json:"Backend"`
	Address      string `json:"Address"`
	Zone         string `json:"Zone"`
	Phase        string `json:"Phase"`
	DbRole       string `json:"DbRole"`
	Capacity     number `json:"Capacity"`
	WarmupLeftMs number `json:"WarmupLeftMs"`
	CallSeq      uint64 `json:"CallSeq"`
}

// heartbeatReply names the address to which the database should send its next heartbeat.
type heartbeatReply struct {
	Target string `json:"BeatTarget"`
}

// readHeartbeat decodes a heartbeat of the database with an ID.
func readHeartbeat(id string, body []byte) (ports.Instance, error) {
	var heartbeat rawHeartbeat
	if err := json.Unmarshal(body, &heartbeat); err != nil {
		return ports.Instance{}, err
	}
	if !isSingleField(id) || !isSingleField(heartbeat.Backend) || !isSingleField(heartbeat.Address) {
		return ports.Instance{}, fmt.Errorf("%w: %.80q, %.80q, %.80q", errInvalidName, id, heartbeat.Backend, heartbeat.Address)
	}
	return ports.Instance{ID: id, Group: heartbeat.Backend, Address: heartbeat.Address, Zone: heartbeat.Zone, Capacity: heartbeat.Capacity.integer(), Draining: heartbeat.Phase == phaseDraining,
		Primary: heartbeat.DbRole == roleLeader, WarmupUs: heartbeat.WarmupLeftMs.microseconds(), AnnouncementNumber: heartbeat.CallSeq}, nil
}
