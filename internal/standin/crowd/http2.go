package crowd

import "encoding/binary"

// Types and flags of HTTP/2 frames; see RFC 9113 section 6.
const (
	frameData         = 0x0
	frameHeaders      = 0x1
	frameReset        = 0x3
	frameSettings     = 0x4
	frameContinuation = 0x9

	flagEndStream  = 0x1
	flagEndHeaders = 0x4

	settingInitialWindow = 0x4
	codeCancel           = 0x8
	prefaceText          = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	// maxFrame is the largest payload that every server accepts.
	maxFrame = 16 << 10
)

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	n := len(payload)
	b := []byte{byte(n >> 16), byte(n >> 8), byte(n), kind, flags}
	return append(binary.BigEndian.AppendUint32(b, stream), payload...)
}

// field returns a header field as a literal without indexing; see RFC 7541 section 6.2.2.
// Name and value are shorter than 127 bytes.
func field(name, value string) []byte {
	b := append([]byte{0, byte(len(name))}, name...)
	return append(append(b, byte(len(value))), value...)
}

func fields(nameValues ...string) []byte {
	var b []byte
	for i := 0; i+1 < len(nameValues); i += 2 {
		b = append(b, field(nameValues[i], nameValues[i+1])...)
	}
	return b
}

// preface returns the start of a connection whose responses have windows of the given
// size.
func preface(window uint32) string {
	b := binary.BigEndian.AppendUint16(nil, settingInitialWindow)
	b = binary.BigEndian.AppendUint32(b, window)
	return prefaceText + string(frame(frameSettings, 0, 0, b))
}

const usualWindow = 1<<16 - 1

// EndlessHeaders returns clients that send a header block of HTTP/2 without an end.
func EndlessHeaders(header ...string) Client {
	var block []byte
	for len(block) < maxFrame-100 {
		block = append(block, field("x", "y")...)
	}
	next := string(frame(frameContinuation, 0, 1, block))
	return Client{Head: preface(usualWindow) + string(frame(frameHeaders, flagEndStream, 1, fields(header...))), Repeat: next}
}

// StalledHeaders returns clients that send limit bytes of a frame of the largest size
// that can be declared, and wait.
func StalledHeaders(limit int) Client {
	h := []byte{0xff, 0xff, 0xff, frameHeaders, flagEndHeaders, 0, 0, 0, 1}
	// Servers announce the largest frame that they accept. 1 MiB is the default of net/http.
	h[0], h[1], h[2] = 0x10, 0, 0
	return Client{Head: preface(usualWindow) + string(h), Repeat: string(make([]byte, maxFrame)), Limit: limit}
}

// RapidResets returns clients that reset each request right after its header.
func RapidResets(header ...string) Client {
	block := fields(header...)
	return Client{Head: preface(usualWindow), Next: func(i int) []byte {
		id := uint32(2*i + 1)
		return append(frame(frameHeaders, flagEndStream|flagEndHeaders, id, block),
			frame(frameReset, 0, id, binary.BigEndian.AppendUint32(nil, codeCancel))...)
	}}
}

// ClosedWindows returns clients that send n requests on each connection and never let the
// server send a byte of a response body.
func ClosedWindows(n int, header ...string) Client {
	block := fields(header...)
	return Client{Head: preface(0), Next: func(i int) []byte {
		if i >= n {
			return nil
		}
		return frame(frameHeaders, flagEndStream|flagEndHeaders, uint32(2*i+1), block)
	}}
}

// StalledBodies returns clients that begin n requests on each connection, with size bytes
// of a body without an end each.
func StalledBodies(n, size int, header ...string) Client {
	block, data := fields(header...), make([]byte, size)
	return Client{Head: preface(usualWindow), Next: func(i int) []byte {
		if i >= n {
			return nil
		}
		id := uint32(2*i + 1)
		b := frame(frameHeaders, flagEndHeaders, id, block)
		for rest := data; len(rest) > 0; {
			m := min(len(rest), maxFrame)
			b = append(b, frame(frameData, 0, id, rest[:m])...)
			rest = rest[m:]
		}
		return b
	}}
}
