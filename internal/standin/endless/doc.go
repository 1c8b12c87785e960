// Package endless provides servers for tests that send bytes without end, and measures the
// memory that their clients need meanwhile.
package endless
