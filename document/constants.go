package document

// Limits on YAML documents. The length of lines and the nesting are limited because the YAML parser recurses once per
// level, and a stack overflow can't be recovered from. The fields of one mapping and the empty values of a document are
// limited because the time of the parser grows with the square of their number: 300,000 fields of one mapping took
// 4 min 27 s, 40,000 empty values 1 to 5 s.
const (
	MaxYAMLBytes   = 4 << 20
	MaxLineBytes   = 4 << 10
	MaxNesting     = 100
	MaxFields      = 1_000
	MaxEmptyValues = 1_000
)

// MaxJSONBytes is the largest size of a JSON document. An accepted YAML document must never be too large as JSON, the
// form in which it is stored. JSON is larger, because it has quotes and all defaults: 10,000 entries take about 2 MB,
// and a list of short names takes 5 bytes for each 3 bytes of YAML.
const MaxJSONBytes = 4 * MaxYAMLBytes

// maxProblemsShown is the number of problems that Error.Error lists. Error.Problems returns all of them.
const maxProblemsShown = 50

// maxFoundBytes is the length to which a message cuts the value found.
const maxFoundBytes = 80

// minRatio is the smallest ratio that Go formats without an exponent. YAML reads numbers with an exponent as strings.
const minRatio = 0.0001
