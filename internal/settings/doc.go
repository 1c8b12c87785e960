// Package settings defines the settings of a node and checks them at start.
//
// Every setting is a flag and an environment variable. Secrets are read from
// the environment only, so that they appear in no process list.
package settings
