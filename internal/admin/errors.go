package admin

import "net/http"

// callError is an error of a ChangeManager with the kind of its Problem.
type callError struct {
	kind    string
	err     error
	changed []string // of KindOutdated
}

// Error returns the text of the Problem.
func (e *callError) Error() string { return e.err.Error() }

// Unwrap returns the error that has the kind.
func (e *callError) Unwrap() error { return e.err }

// withKind gives an error a kind.
func withKind(kind string, err error) error { return &callError{kind: kind, err: err} }

// statusOfKind maps the kinds of problems to HTTP statuses.
var statusOfKind = map[string]int{
	KindBadRequest:   http.StatusBadRequest,
	KindInvalid:      http.StatusUnprocessableEntity,
	KindOutdated:     http.StatusConflict,
	KindRejected:     http.StatusForbidden,
	KindStorage:      http.StatusInsufficientStorage,
	KindShuttingDown: http.StatusServiceUnavailable,
}
