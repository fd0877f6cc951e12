package routingtable

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"stoneford/internal/ports"
	"stoneford/schema"
)

const (
	// compressedMarker is the first byte of a compressed table. No protobuf message
	// begins with this byte.
	compressedMarker = 0
	// compressionThreshold is the size in bytes from which a table is compressed. A
	// table is written to every voter's disk and sent to every node, some of them over
	// links of 2 Mbit/s, and it compresses well since its items are similar.
	compressionThreshold = 1 << 10
	// maxDecompressedSize bounds the bytes of memory that Decode uses for a corrupt
	// table.
	maxDecompressedSize = 64 << 20
)

// Encode returns the stored form of a table. Equal tables give equal bytes.
func Encode(table ports.RoutingTable) []byte {
	message := &schema.RoutingTable{
		Revision:                 table.Revision,
		IdleTimeoutUs:            table.Limits.IdleTimeoutUs,
		TransactionIdleTimeoutUs: table.Limits.TransactionIdleTimeoutUs,
		LimitsSource:             table.Limits.Source,
		ForgottenRevision:        table.ForgottenRevision,
	}
	for _, r := range table.Routes {
		message.Routes = append(message.Routes, encodeRoute(r))
	}
	for _, g := range table.Groups {
		message.Groups = append(message.Groups, &schema.GroupItem{
			Name: g.Name, ConnectionLimit: int32(g.ConnectionLimit), RequiredReplicaAcks: int32(g.RequiredReplicaAcks), Source: g.Source,
		})
	}
	for _, p := range table.Placements {
		message.Placements = append(message.Placements, &schema.Placement{
			Group: p.Group, Site: p.Site, TableRevision: p.TableRevision, PreviousSite: p.PreviousSite, Reverted: p.Reverted,
		})
	}
	for _, o := range table.RecentChanges {
		message.RecentOrders = append(message.RecentOrders, &schema.AppliedOrder{Revision: o.Revision, Digest: []byte(o.Digest)})
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(err) // only a name that is not UTF-8 fails, and parsed changes contain none
	}
	return compress(encoded)
}

func encodeRoute(r ports.Route) *schema.RouteItem {
	return &schema.RouteItem{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, ReadClass: uint32(r.Class), Group: r.Group,
		TimeoutUs: r.TimeoutUs, LatencyTargetUs: r.LatencyTargetUs, MaxStalenessUs: r.MaxStalenessUs,
		Rank: int32(r.Rank), MaxAttempts: int32(r.MaxAttempts), Source: r.Source,
	}
}

// Decode returns the table of a stored form; empty input gives the empty table. The
// error shows whether decompression or parsing failed.
func Decode(encoded []byte) (ports.RoutingTable, error) {
	plain, err := decompress(encoded)
	if err != nil {
		return ports.RoutingTable{}, fmt.Errorf("decompress the routing table: %w", err)
	}
	message := &schema.RoutingTable{}
	if err := proto.Unmarshal(plain, message); err != nil {
		return ports.RoutingTable{}, fmt.Errorf("parse the routing table: %w", err)
	}
	table := ports.RoutingTable{
		Revision: message.Revision,
		Limits: ports.Limits{
			IdleTimeoutUs: message.IdleTimeoutUs, TransactionIdleTimeoutUs: message.TransactionIdleTimeoutUs, Source: message.LimitsSource,
		},
		ForgottenRevision: message.ForgottenRevision,
	}
	for _, r := range message.Routes {
		table.Routes = append(table.Routes, decodeRoute(r))
	}
	for _, g := range message.Groups {
		table.Groups = append(table.Groups, ports.Group{
			Name: g.Name, ConnectionLimit: int(g.ConnectionLimit), RequiredReplicaAcks: int(g.RequiredReplicaAcks), Source: g.Source,
		})
	}
	for _, p := range message.Placements {
		table.Placements = append(table.Placements, ports.Placement{
			Group: p.Group, Site: p.Site, TableRevision: p.TableRevision, PreviousSite: p.PreviousSite, Reverted: p.Reverted,
		})
	}
	for _, o := range message.RecentOrders {
		table.RecentChanges = append(table.RecentChanges, ports.AppliedChange{Revision: o.Revision, Digest: string(o.Digest)})
	}
	return table, nil
}

func decodeRoute(r *schema.RouteItem) ports.Route {
	return ports.Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Class: ports.ReadClass(r.ReadClass), Group: r.Group,
		TimeoutUs: r.TimeoutUs, LatencyTargetUs: r.LatencyTargetUs, MaxStalenessUs: r.MaxStalenessUs,
		Rank: int(r.Rank), MaxAttempts: int(r.MaxAttempts), Source: r.Source,
	}
}

// compress compresses an encoded table of at least compressionThreshold bytes and
// returns a smaller one unchanged.
func compress(plain []byte) []byte {
	if len(plain) < compressionThreshold {
		return plain
	}
	var compressed bytes.Buffer
	compressed.WriteByte(compressedMarker)
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		panic(err) // flate accepts this compression level
	}
	_, err = w.Write(plain)
	if err := errors.Join(err, w.Close()); err != nil {
		panic(err) // writes to a bytes.Buffer never fail
	}
	return compressed.Bytes()
}

// decompress reverses compress.
func decompress(encoded []byte) ([]byte, error) {
	if len(encoded) == 0 || encoded[0] != compressedMarker {
		return encoded, nil
	}
	r := flate.NewReader(bytes.NewReader(encoded[1:]))
	plain, err := io.ReadAll(io.LimitReader(r, maxDecompressedSize))
	return plain, errors.Join(err, r.Close())
}
