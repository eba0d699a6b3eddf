package catalogue

// Class is the urgency class of an entry. It determines how soon its tasks have to start.
type Class uint8

// Classes, from the most to the least urgent.
const (
	ClassUrgent Class = iota + 1
	ClassInteractive
	ClassArchive
)

var classNames = []string{"urgent", "interactive", "archive"}

// String returns the name used in documents, and "none" for values that aren't classes.
func (c Class) String() string {
	if c < ClassUrgent || c > ClassArchive {
		return "none"
	}
	return classNames[c-1]
}

// parseClass returns the class with this name, 0 if there is none.
func parseClass(s string) Class {
	for i, n := range classNames {
		if n == s {
			return Class(i + 1)
		}
	}
	return 0
}
