package config

import "time"

// Limits on the size of a configuration. They keep the memory and the compile
// time of a node within its share of a VM regardless of what operators submit.
const (
	MaxFileBytes      = 4 << 20  // of one YAML file
	MaxManifestBytes  = 4 << 20  // of one encoded manifest
	MaxPartBytes      = 64 << 10 // of one encoded document
	MaxDocuments      = 20_000
	MaxRanks          = 16
	MaxServices       = 1_000
	MaxParameters     = 64
	MaxTemplateRoutes = 128    // routes of one template
	MaxTotalRoutes    = 60_000 // routes of all accounts
	MaxTextBytes      = 1_024  // of one string
	MaxFaults         = 1_000  // faults listed in one error
	maxNesting        = 16     // nesting depth of a YAML document
)

// Limits on the values of a configuration.
const (
	MaxDuration       = time.Hour
	MaxAttempts       = 10
	MaxSlots          = 10_000
	MaxConnections    = 100_000
	MaxRate           = 1e6 // requests per second
	MaxWorth          = 1e9
	MaxFloorSum       = 0.5  // sum of the floors of all ranks
	maxNumber         = 1e12 // absolute value of a number
	floorSumTolerance = 1e-9 // allows for rounding in a sum of decimal fractions
)

// Limits of a Definition.
const (
	// maxDefinedCount bounds its numbers; larger ones would overflow.
	maxDefinedCount     = 1 << 30
	maxAccountNameBytes = 128
	// maxAccountPriorities bounds the ranks, of which each gate compares all on each
	// admission.
	maxAccountPriorities = 16
	// definedRankFloor is the share of the slots that each rank is guaranteed while it has
	// requests. It keeps routes of equal priority, whose ranks differ only by target, from
	// starving each other.
	definedRankFloor = 0.05
	// maxDefinedFloorSum is the largest sum of the floors of all ranks, if there are client
	// accounts.
	maxDefinedFloorSum = 0.4
)
