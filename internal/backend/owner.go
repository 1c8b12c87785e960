package backend

import (
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// checkOwner returns a refusal unless a response is known to belong to request id,
// which was sent as x. Named are the requests that the response names. If it states
// not run, or the backend server echoes ids, a response that names none belongs to the
// request only if the connection has carried no other one. If both hold, it belongs to
// none: a backend server may also write a rejection before it has read a request.
//
// On a kept connection an answer to an earlier request may arrive once more, at the
// point where the next answer is expected.
func checkOwner(named []string, id mesh.RequestID, x hop.Exchange, notRun, echoes bool) *fault.Error {
	for _, n := range named {
		if n != string(id) {
			return fault.New(fault.OutcomeUnknown, "the backend server answered another request")
		}
	}
	switch {
	case x.Early > 0:
		return fault.New(fault.OutcomeUnknown, "the answer of the backend server began before the request was sent")
	case len(named) == 0 && (notRun && echoes || (notRun || echoes) && x.Requests != 1):
		return fault.New(fault.OutcomeUnknown, "the answer of the backend server names no request")
	}
	return nil
}
