package table

// RowVersion is the version of a row after a write.
type RowVersion struct {
	Key     string
	Version uint64
}

// TransactResponse is the body of a response to POST /v1/transact, whose request body is a Transaction.
type TransactResponse struct {
	Committed bool
	Versions  []RowVersion // of the rows written, if committed
	Conflicts []Row        // current rows whose condition did not hold, if not committed
}

// RangeRequest is the body of POST /v1/range.
type RangeRequest struct {
	From  string
	To    string
	Limit int
}

// RangeResponse is the body of a response to POST /v1/range.
type RangeResponse struct {
	Rows []Row
}

// ErrorResponse is the body of a response with a status of 400 or higher.
type ErrorResponse struct {
	Error    string
	NoEffect bool // the request has not taken effect and never will
}
