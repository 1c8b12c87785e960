// Package demand learns which requests are nested calls of backend servers, how many
// calls the requests of a route make to which services, and how those calls end.
//
// A node uses it to admit nested calls first, and to refuse a request before it runs if
// the calls that it needs would likely fail: such a request uses a slot in vain. It has
// no clock and no I/O.
package demand
