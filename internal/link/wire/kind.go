package wire

import (
	"bytes"
	"fmt"
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Kind -trimprefix Kind -output kind_string.go

// Kind is the type of a message on the wire. Its values are part of the protocol and must not change.
type Kind uint8

// Message kinds: 1 to 31 are for sessions, 32 to 63 for membership and configuration, 64 to 95 for serving, 96 to 159
// for batch work, 160 to 191 for multi-step jobs.
const (
	KindHello         Kind = 1
	KindProof         Kind = 2
	KindPing          Kind = 3
	KindPong          Kind = 4
	KindGoodbye       Kind = 5
	KindOpen          Kind = 6 // head of a stream
	KindData          Kind = 7 // raw body bytes
	KindWindow        Kind = 8
	KindEnd           Kind = 9
	KindReset         Kind = 10
	KindRoster        Kind = 32
	KindHeartbeat     Kind = 33
	KindHeartbeatAck  Kind = 34
	KindTargets       Kind = 35
	KindLeaving       Kind = 36
	KindSummary       Kind = 37
	KindConfigChanged Kind = 38
	KindConfigFetch   Kind = 39
	KindConfigDoc     Kind = 40
	KindAgentConfig   Kind = 41
	KindConfigApplied Kind = 42
	KindRequestHead   Kind = 64
	KindResponseHead  Kind = 65
	KindVerdict       Kind = 66
	KindTrailers      Kind = 67
	KindStartTask     Kind = 96
	KindStopTask      Kind = 97
	KindThrottleTask  Kind = 98
	KindTaskReport    Kind = 99
	KindTaskReportAck Kind = 100
	KindAdopt         Kind = 101
	KindInventory     Kind = 102
	KindReconcile     Kind = 103
	KindShareOffer    Kind = 104
	KindShareAck      Kind = 105
	KindShareDone     Kind = 106
	KindShareDoneAck  Kind = 107
	KindJobSubmit     Kind = 108
	KindJobQuery      Kind = 109
	KindJobCancel     Kind = 110
	KindJobReply      Kind = 111
	KindLeadAdopt     Kind = 160
	KindWorkerState   Kind = 161
	KindRunReport     Kind = 162
	KindLeaseGrant    Kind = 163
	KindTaskOrders    Kind = 164
	KindJobAsk        Kind = 165
	KindJobTell       Kind = 166
	KindReportPart    Kind = 167
	KindJobForecast   Kind = 168
	KindJobExplained  Kind = 169
)

// Message is a typed message between two processes of the system.
type Message interface {
	// Kind returns the type of the message on the wire.
	Kind() Kind
}

var types = map[Kind]reflect.Type{}

// register adds message types to those that Decode accepts.
func register(list ...Message) {
	for _, m := range list {
		types[m.Kind()] = reflect.TypeOf(m).Elem()
	}
}

// Pack returns v encoded with msgpack, with structs as arrays; it fails on types that msgpack cannot encode.
func Pack(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return buf.Bytes(), nil
}

// Unpack decodes into v a value that Pack encoded; it fails on malformed or trailing bytes. It first skips over the
// whole value as a check, because msgpack allocates a slice of the declared length: five bytes could claim more memory
// than there is.
func Unpack(b []byte, v any) error {
	r := bytes.NewReader(b)
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(r)
	if err := dec.Skip(); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	if r.Len() > 0 {
		return errors.Newf("decode %T: %d bytes follow it", v, r.Len())
	}
	r.Reset(b)
	dec.Reset(r)
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

// Decode decodes a message of kind k that Pack encoded; it fails on an unknown kind and on malformed bytes.
func Decode(k Kind, b []byte) (Message, error) {
	t, ok := types[k]
	if !ok {
		return nil, errors.Newf("unknown message kind %d", uint8(k))
	}
	m, ok := reflect.New(t).Interface().(Message)
	if !ok {
		return nil, errors.Newf("type %v is not a message", t)
	}
	if err := Unpack(b, m); err != nil {
		return nil, err
	}
	return m, nil
}
