package backend

// ClaimResult is the result of a claim.
type ClaimResult struct {
	Won   bool   // the row now belongs to the owner of this call
	Owner string // owner of the row
}

type claims struct{ conf Config }

func newClaims(c Config) *claims { return &claims{conf: c} }
