package guard

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Reason -output reason_string.go

// Reason is the limit for which a client was turned away.
type Reason uint8

// Reasons for which a client is turned away.
const (
	Connections Reason = iota + 1 // too many connections in all
	PerAddress                    // too many connections from one address
	Handshakes                    // too many connections without a completed session handshake
	Bytes                         // the byte budget is used up
	Stalled                       // no byte has moved for too long
	BodySize                      // a body exceeds its limit
	ListLength                    // a list in a body exceeds its limit
)
