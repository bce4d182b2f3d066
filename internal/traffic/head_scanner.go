package traffic

import (
	"bytes"

	"github.com/pkg/errors"
)

// errTooManyFields is the error of a head with more fields than are allowed. Parsed, a field takes many times its bytes.
var errTooManyFields = errors.New("the request header has too many fields")

// refusedFields is the reason under which such heads are counted.
const refusedFields = "fields"

// headScanner counts the fields of a head while its bytes arrive. The zero value stands before the first byte.
type headScanner struct {
	// fields and size are the lines and bytes of the head so far, ended says that the empty line after it has come.
	fields, size int
	ended        bool
	// inLine says that the current line has a byte other than CR.
	inLine bool
}

// scan takes the next bytes, of which those behind the head are ignored.
func (s *headScanner) scan(p []byte) {
	for len(p) > 0 && !s.ended {
		end := bytes.IndexByte(p, '\n')
		line := p
		if end >= 0 {
			line = p[:end]
		}
		s.inLine = s.inLine || len(line) > 1 || len(line) == 1 && line[0] != '\r'
		s.size += len(line)
		if end < 0 {
			return
		}
		s.size++
		if s.ended = !s.inLine && s.fields > 0; s.inLine {
			s.fields++
		}
		s.inLine = false
		p = p[end+1:]
	}
}
