package label

import "strings"

// ParseSelector reads a comma-separated list of requirements:
// "a=b", "a!=b", "a in (b,c)", "a notin (b,c)", "a" (present) and "!a" (absent).
// An empty text matches everything. It returns *SyntaxError.
func ParseSelector(text string) (Selector, error) {
	p := parser{text: text}
	selector := Selector{text: text}
	p.skipSpace()
	if p.done() {
		return selector, nil
	}
	for {
		r, err := p.requirement()
		if err != nil {
			return Selector{}, err
		}
		selector.requirements = append(selector.requirements, r)
		if len(selector.requirements) > MaxLabels {
			return Selector{}, p.fail(ReasonTooMany)
		}
		p.skipSpace()
		if p.done() {
			return selector, nil
		}
		if !p.accept(",") {
			return Selector{}, p.fail(ReasonSyntax)
		}
	}
}

type parser struct {
	text   string
	offset int
}

func (p *parser) done() bool { return p.offset == len(p.text) }

func (p *parser) fail(reason Reason) error {
	return &SyntaxError{Text: p.text[p.offset:], Offset: p.offset, Reason: reason}
}

func (p *parser) skipSpace() {
	for !p.done() && p.text[p.offset] == ' ' {
		p.offset++
	}
}

func (p *parser) accept(token string) bool {
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
	for !p.done() && wordByte(p.text[p.offset]) {
		p.offset++
	}
	return p.text[start:p.offset]
}

func (p *parser) requirement() (requirement, error) {
	absent := p.accept("!")
	key := p.word()
	if len(key) > MaxKeyOrValueBytes {
		return requirement{}, p.fail(ReasonTooLong)
	}
	if !validKey(key) {
		return requirement{}, p.fail(ReasonInvalidKey)
	}
	if absent {
		return requirement{key: key, op: opAbsent}, nil
	}
	switch {
	case p.accept("!="):
		return p.single(key, opNotIn)
	case p.accept("="):
		return p.single(key, opIn)
	}
	mark := p.offset
	switch p.word() {
	case "in":
		return p.list(key, opIn)
	case "notin":
		return p.list(key, opNotIn)
	}
	p.offset = mark
	return requirement{key: key, op: opExists}, nil
}

func (p *parser) single(key string, op operator) (requirement, error) {
	value := p.word()
	if len(value) > MaxKeyOrValueBytes {
		return requirement{}, p.fail(ReasonTooLong)
	}
	return requirement{key: key, op: op, values: []string{value}}, nil
}

func (p *parser) list(key string, op operator) (requirement, error) {
	r := requirement{key: key, op: op}
	if !p.accept("(") {
		return r, p.fail(ReasonSyntax)
	}
	for {
		value := p.word()
		if len(value) > MaxKeyOrValueBytes {
			return r, p.fail(ReasonTooLong)
		}
		r.values = append(r.values, value)
		if p.accept(")") {
			return r, nil
		}
		if !p.accept(",") {
			return r, p.fail(ReasonSyntax)
		}
	}
}
