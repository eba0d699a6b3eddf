package document

// Limits on YAML documents. Lines and nesting are bounded because the parser recurses once for each level, and a stack
// overflow can't be recovered from. Fields and empty values are bounded because the parser's time grows with the square
// of their number: 300,000 fields of one mapping took 4 min 27 s, 40,000 empty values 1 to 5 s.
const (
	MaxYAMLBytes   = 4 << 20
	MaxLineBytes   = 4 << 10
	MaxNesting     = 100
	MaxFields      = 1_000
	MaxEmptyValues = 1_000
)

// MaxJSONBytes is larger than MaxYAMLBytes, because the stored form of a document has quotes and the defaults filled in:
// about 2 MB for 10,000 entries, and 5 bytes for each 3 of a list of short names. A document that was accepted must
// never be too large to be read again.
const MaxJSONBytes = 4 * MaxYAMLBytes

// maxProblemsShown is the number of problems in the text of an error. Err.Problems returns all of them.
const maxProblemsShown = 50

// maxFoundBytes is the length at which a value found is cut in messages.
const maxFoundBytes = 80

// minRatio is the smallest ratio that Go formats without an exponent.
const minRatio = 0.0001
