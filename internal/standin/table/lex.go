package table

import (
	"strings"
	"unicode"
)

// tokenize splits an expression into names, placeholders and operators.
func tokenize(s string) ([]string, error) {
	var toks []string
	for i := 0; i < len(s); {
		c := s[i]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			i++
		case strings.HasPrefix(s[i:], "<>"), strings.HasPrefix(s[i:], "<="), strings.HasPrefix(s[i:], ">="):
			toks = append(toks, s[i:i+2])
			i += 2
		case strings.IndexByte("=<>(),+-.[]", c) >= 0:
			toks = append(toks, s[i:i+1])
			i++
		case c == ':' || c == '#' || isWordByte(c):
			j := i + 1
			for j < len(s) && isWordByte(s[j]) {
				j++
			}
			toks = append(toks, s[i:j])
			i = j
		default:
			return nil, validationError("Invalid expression: Syntax error; token: %q", s[i:])
		}
	}
	return toks, nil
}

func isWordByte(c byte) bool {
	return c == '_' || unicode.IsLetter(rune(c)) || unicode.IsDigit(rune(c))
}
