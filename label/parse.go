package label

import "strings"

// ParseSelector parses a comma-separated list of requirements of the forms "a=b", "a!=b", "a in (b,c)",
// "a notin (b,c)", "a" (the key is present) and "!a" (the key is absent). An empty text matches every label
// set. Errors are of type *SyntaxError.
func ParseSelector(text string) (Selector, error) {
	p := parser{text: text}
	selector := Selector{text: text}
	p.skipSpace()
	if p.atEnd() {
		return selector, nil
	}
	for {
		r, err := p.requirement()
		if err != nil {
			return Selector{}, err
		}
		selector.requirements = append(selector.requirements, r)
		if len(selector.requirements) > MaxLabels {
			return Selector{}, p.syntaxError(ReasonTooMany)
		}
		p.skipSpace()
		if p.atEnd() {
			return selector, nil
		}
		if !p.acceptToken(",") {
			return Selector{}, p.syntaxError(ReasonSyntax)
		}
	}
}

type parser struct {
	text   string
	offset int
}

func (p *parser) atEnd() bool { return p.offset == len(p.text) }

func (p *parser) syntaxError(reason Reason) error {
	return &SyntaxError{Text: p.text[p.offset:], Offset: p.offset, Reason: reason}
}

func (p *parser) skipSpace() {
	for !p.atEnd() && p.text[p.offset] == ' ' {
		p.offset++
	}
}

func (p *parser) acceptToken(token string) bool {
	p.skipSpace()
	if !strings.HasPrefix(p.text[p.offset:], token) {
		return false
	}
	p.offset += len(token)
	return true
}

func (p *parser) word() string {
	p.skipSpace()
	start := p.offset
	for !p.atEnd() && isWordByte(p.text[p.offset]) {
		p.offset++
	}
	return p.text[start:p.offset]
}

func (p *parser) requirement() (requirement, error) {
	absent := p.acceptToken("!")
	key := p.word()
	if len(key) > MaxKeyOrValueBytes {
		return requirement{}, p.syntaxError(ReasonTooLong)
	}
	if !isValidKey(key) {
		return requirement{}, p.syntaxError(ReasonInvalidKey)
	}
	if absent {
		return requirement{key: key, op: opAbsent}, nil
	}
	switch {
	case p.acceptToken("!="):
		return p.singleValue(key, opNotIn)
	case p.acceptToken("="):
		return p.singleValue(key, opIn)
	}
	start := p.offset
	switch p.word() {
	case "in":
		return p.valueList(key, opIn)
	case "notin":
		return p.valueList(key, opNotIn)
	}
	p.offset = start
	return requirement{key: key, op: opExists}, nil
}

func (p *parser) singleValue(key string, op operator) (requirement, error) {
	value := p.word()
	if len(value) > MaxKeyOrValueBytes {
		return requirement{}, p.syntaxError(ReasonTooLong)
	}
	return requirement{key: key, op: op, values: []string{value}}, nil
}

func (p *parser) valueList(key string, op operator) (requirement, error) {
	r := requirement{key: key, op: op}
	if !p.acceptToken("(") {
		return r, p.syntaxError(ReasonSyntax)
	}
	for {
		value := p.word()
		if len(value) > MaxKeyOrValueBytes {
			return r, p.syntaxError(ReasonTooLong)
		}
		r.values = append(r.values, value)
		if p.acceptToken(")") {
			return r, nil
		}
		if !p.acceptToken(",") {
			return r, p.syntaxError(ReasonSyntax)
		}
	}
}
