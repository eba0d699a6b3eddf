package document

// Limits on documents. Lines and nesting are bounded because the parser of YAML recurses once for each level, and a
// stack overflow can't be recovered from.
const (
	MaxBytes     = 8 << 20
	MaxLineBytes = 4 << 10
	MaxNesting   = 100
)

// maxProblemsShown is the number of problems in the text of an error. Err.Problems returns all of them.
const maxProblemsShown = 50

// maxFoundBytes is the length at which a value found is cut in messages.
const maxFoundBytes = 80
