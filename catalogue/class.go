package catalogue

// Class says how soon the work of an entry has to start.
type Class uint8

// Classes, from the most to the least urgent.
const (
	ClassUrgent Class = iota + 1
	ClassInteractive
	ClassArchive
)

var classNames = []string{"urgent", "interactive", "archive"}

// String returns the name used in documents, and "none" for the zero value.
func (c Class) String() string {
	if c < ClassUrgent || c > ClassArchive {
		return "none"
	}
	return classNames[c-1]
}

func parseClass(s string) Class {
	for i, n := range classNames {
		if n == s {
			return Class(i + 1)
		}
	}
	return 0
}
