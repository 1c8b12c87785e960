// Package metric holds the counters and gauges of one node, based on expvar.
//
// Several nodes can run in one process, so a Registry is not published in the
// process-wide expvar table; its Handler serves it as /debug/vars.
package metric
