package backend

import (
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// foreignRefusal returns the refusal of request id, which was sent as x, unless a
// response is known to belong to it. Named are the requests that the response names,
// notRun is whether it states that the request did not run, and echoes is whether the
// backend server names the request in each response.
//
// On a kept connection an answer to an earlier request may arrive once more, at the
// point where the next answer is expected. A backend server may also write a rejection
// before it has read a request.
func foreignRefusal(named []string, id mesh.RequestID, x hop.Exchange, notRun, echoes bool) *fault.Error {
	for _, n := range named {
		if n != string(id) {
			return fault.New(fault.OutcomeUnknown, "the backend server answered another request")
		}
	}
	if x.Early > 0 {
		return fault.New(fault.OutcomeUnknown, "the answer of the backend server began before the request was sent")
	}
	switch {
	case len(named) > 0, !notRun && !echoes:
		return nil
	case notRun != echoes && x.Requests == 1: // the connection has carried no other request
		return nil
	}
	return fault.New(fault.OutcomeUnknown, "the answer of the backend server names no request")
}
