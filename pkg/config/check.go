package config

import (
	"fmt"
	"regexp"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// The kinds of template parameters.
const (
	kindString   = "string"
	kindInt      = "int"
	kindNumber   = "number"
	kindBool     = "bool"
	kindDuration = "duration"
)

var parameterPattern = regexp.MustCompile(`^[a-z][a-z0-9_]{0,62}$`)

func checkName(c *collector, field, s string) {
	if s == "" {
		c.addf(field, "must be set")
	} else if err := mesh.CheckName(s); err != nil {
		c.addf(field, "%v", err)
	}
}

// checkUnique adds a fault if names already contains s, then adds s to names.
func checkUnique(c *collector, names map[string]bool, field, s string) {
	if names[s] && s != "" {
		c.addf(field, "%q is defined twice", s)
	}
	names[s] = true
}

func checkRange(c *collector, field string, f, low, high float64) bool {
	if f >= low && f <= high {
		return true
	}
	c.addf(field, "%v is outside %v to %v", f, low, high)
	return false
}

func checkPositiveDuration(c *collector, field string, d time.Duration) bool {
	if d > 0 && d <= MaxDuration {
		return true
	}
	c.addf(field, "%v is not a positive duration of at most %v", d, MaxDuration)
	return false
}

func checkCount(c *collector, field string, n, limit int) {
	if n > limit {
		c.addf(field, "has %d entries, want at most %d", n, limit)
	}
}

func (d *fleetDocument) check(c *collector) {
	checkName(c, "fleet", d.Fleet)
	if len(d.Ranks) == 0 {
		c.addf("ranks", "must list at least one rank")
	}
	checkCount(c, "ranks", len(d.Ranks), MaxRanks)
	checkCount(c, "services", len(d.Services), MaxServices)
	names := make(map[string]bool)
	var floorSum float64
	for i, r := range d.Ranks {
		path := fmt.Sprintf("ranks[%d]", i)
		checkName(c, path+".name", string(r.Name))
		checkUnique(c, names, path+".name", string(r.Name))
		checkPositiveDuration(c, path+".target", time.Duration(r.Target))
		if checkRange(c, path+".worth", r.Worth, 0, MaxWorth) && r.Worth == 0 {
			c.addf(path+".worth", "must be greater than 0")
		}
		checkRange(c, path+".floor", r.Floor, 0, MaxFloorSum)
		floorSum += r.Floor
	}
	if floorSum > MaxFloorSum+floorSumTolerance {
		c.addf("ranks", "floors sum to %.4g, want at most %v", floorSum, MaxFloorSum)
	}
	clear(names)
	for i, s := range d.Services {
		path := fmt.Sprintf("services[%d]", i)
		checkName(c, path+".name", string(s.Name))
		checkUnique(c, names, path+".name", string(s.Name))
		checkRange(c, path+".slots", float64(s.Slots), 1, MaxSlots)
		if s.Connections < s.Slots || s.Connections > MaxConnections {
			c.addf(path+".connections", "%d is outside %d (the slots) to %d", s.Connections, s.Slots, MaxConnections)
		}
	}
}

func (d *accountDocument) check(c *collector) {
	checkName(c, "account", string(d.Account))
	checkName(c, "template", d.Template)
	checkCount(c, "parameters", len(d.Parameters), MaxParameters)
	for name, v := range d.Parameters {
		checkText(c, "parameters."+name, v.text)
	}
}

func (d *templateDocument) check(c *collector) {
	checkName(c, "template", d.Template)
	checkCount(c, "parameters", len(d.Parameters), MaxParameters)
	checkCount(c, "routes", len(d.Routes), MaxTemplateRoutes)
	if len(d.Routes) == 0 {
		c.addf("routes", "must list at least one route")
	}
	names := make(map[string]bool)
	for i, p := range d.Parameters {
		path := fmt.Sprintf("parameters[%d]", i)
		if !parameterPattern.MatchString(p.Name) {
			c.addf(path+".name", "%q is not a parameter name: want 1 to 63 lower-case letters, digits and underscores, beginning with a letter", p.Name)
		}
		checkUnique(c, names, path+".name", p.Name)
		p.check(c, path)
	}
	r := newRouteReader(c, "", d)
	for i := range d.Routes {
		r.readRoute(i, &d.Routes[i])
	}
	r.checkOverlap()
}

func (p *parameterDocument) check(c *collector, path string) {
	switch p.Kind {
	case kindString, kindBool:
		if p.Min.kind != absent || p.Max.kind != absent {
			c.addf(path, "min and max need kind int, number or duration, not %s", p.Kind)
		}
	case kindInt, kindNumber, kindDuration:
		p.checkBounds(c, path)
	default:
		c.addf(path+".kind", "%q is not one of string, int, number, bool, duration", p.Kind)
		return
	}
	if p.Required == (p.Default.kind != absent) {
		c.addf(path, "needs either required: true or a default")
	}
	if p.Default.kind != absent {
		p.checkValue(c, path+".default", p.Default)
	}
}

func (p *parameterDocument) checkBounds(c *collector, path string) {
	low, lowOK := p.numericValue(c, path+".min", p.Min)
	high, highOK := p.numericValue(c, path+".max", p.Max)
	if lowOK && highOK && low > high {
		c.addf(path+".min", "%s is greater than max %s", p.Min.text, p.Max.text)
	}
}

// numericValue returns v as a number that can be compared with the bounds of p,
// whose kind is numeric. It returns false if v is absent, and adds a fault and
// returns false if v is of another kind.
func (p *parameterDocument) numericValue(c *collector, field string, v value) (float64, bool) {
	if v.kind == absent {
		return 0, false
	}
	if p.Kind == kindDuration {
		d, err := time.ParseDuration(v.text)
		if v.kind != textValue || err != nil {
			c.addf(field, "%q is not a duration such as 150ms or 2s", v.text)
			return 0, false
		}
		return float64(d), true
	}
	if v.kind != numberValue {
		c.addf(field, "want a number, not %s", v.kind)
		return 0, false
	}
	f := v.number()
	if p.Kind == kindInt && f != float64(int64(f)) {
		c.addf(field, "want a whole number, not %s", v.text)
		return 0, false
	}
	return f, true
}

// checkValue reports whether p accepts v, and adds a fault if it does not.
func (p *parameterDocument) checkValue(c *collector, field string, v value) bool {
	switch p.Kind {
	case kindString:
		if v.kind != textValue {
			c.addf(field, "want a string, not %s", v.kind)
			return false
		}
		return checkText(c, field, v.text)
	case kindBool:
		if v.kind != boolValue {
			c.addf(field, "want true or false, not %s", v.kind)
			return false
		}
		return true
	}
	f, ok := p.numericValue(c, field, v)
	if !ok {
		return false
	}
	scratch := &collector{} // discarded: faults of the bounds are reported with the template
	if low, ok := p.numericValue(scratch, "", p.Min); ok && f < low {
		c.addf(field, "%s is below the minimum %s", v.text, p.Min.text)
		return false
	}
	if high, ok := p.numericValue(scratch, "", p.Max); ok && f > high {
		c.addf(field, "%s is above the maximum %s", v.text, p.Max.text)
		return false
	}
	return true
}
