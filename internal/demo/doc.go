// Package demo runs a small mesh in one process: the stand-ins of the platform
// and of three backend servers, and three nodes. It accepts an edit while
// requests of several ranks are served and prints a report.
package demo
