// Package settings defines the settings of a node and checks them at start.
//
// The settings of Node have a flag and an environment variable each. Secrets are
// read from the environment only, so that they do not appear in process lists.
package settings
