package behaviourhash

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"stoneford/schema"
)

var deterministic = proto.MarshalOptions{Deterministic: true}

// encode returns a deterministic encoding of an envelope. Envelopes contain RoleStates
// that package leaderelection has marshalled without a fixed order of map entries; encode
// marshals these bytes again deterministically. Nothing but the order of the entries is
// lost.
func encode(envelope proto.Message) []byte {
	m := proto.Clone(envelope)
	orderMessage(m.ProtoReflect())
	return marshal(m)
}

func marshal(m proto.Message) []byte {
	b, err := deterministic.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

// orderMessage replaces the marshalled role states in a message by their deterministic
// encoding.
func orderMessage(m protoreflect.Message) {
	m.Range(func(field protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case field.IsMap():
			orderMap(field, v.Map())
		case field.IsList():
			orderList(field, v.List())
		case field.Message() != nil:
			orderMessage(v.Message())
		case field.Kind() == protoreflect.BytesKind:
			m.Set(field, protoreflect.ValueOfBytes(orderRoleState(v.Bytes())))
		}
		return true
	})
}

func orderMap(field protoreflect.FieldDescriptor, values protoreflect.Map) {
	if field.MapValue().Message() == nil {
		return
	}
	values.Range(func(_ protoreflect.MapKey, v protoreflect.Value) bool {
		orderMessage(v.Message())
		return true
	})
}

func orderList(field protoreflect.FieldDescriptor, values protoreflect.List) {
	for i := range values.Len() {
		switch {
		case field.Message() != nil:
			orderMessage(values.Get(i).Message())
		case field.Kind() == protoreflect.BytesKind:
			values.Set(i, protoreflect.ValueOfBytes(orderRoleState(values.Get(i).Bytes())))
		}
	}
}

// orderRoleState returns the deterministic encoding of bytes that are a RoleState with
// connection leases, and returns other bytes unchanged.
func orderRoleState(b []byte) []byte {
	s := &schema.RoleState{}
	if proto.Unmarshal(b, s) != nil || s.Leader == "" || s.ConnectionLeases == nil {
		return b
	}
	return marshal(s)
}
