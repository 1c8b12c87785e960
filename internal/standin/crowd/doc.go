// Package crowd is a stand-in of many clients at once that ignore the limits of a server:
// their requests do not end, stop half-way, or are followed by responses that nobody
// reads. It is for tests of what such clients cost the server.
package crowd
