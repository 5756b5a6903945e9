package setup

import (
	"os"
	"strconv"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// Variables with settings that a deployment may leave out. A template of the settings file renders every value that it
// names, so it cannot leave out a field; an empty variable is the same as none.
const (
	// EvacuationBoundVariable holds EvacuationBound in whole milliseconds.
	EvacuationBoundVariable = "TREFOILRAMP_EVACUATION_BOUND_MS"
	// DescriptorsVariable holds Descriptors of the processes of a cell.
	DescriptorsVariable = "TREFOILRAMP_DESCRIPTORS"
)

// applyEnvironment sets the fields of an entry that have a variable and are absent from the settings file.
func (e *CellEntry) applyEnvironment(c strict.Check) {
	if n, ok := numberFrom(EvacuationBoundVariable, c.Field("EvacuationBound")); ok && e.EvacuationBound == nil {
		d := model.Duration(time.Duration(n) * time.Millisecond)
		e.EvacuationBound = &d
	}
}

// applyEnvironment does the same for the fields that entries and agents share.
func (s *CellProcess) applyEnvironment(c strict.Check) {
	if n, ok := numberFrom(DescriptorsVariable, c.Field("Descriptors")); ok && s.Descriptors == 0 {
		s.Descriptors = n
	}
}

// numberFrom returns the whole number in a variable, and false if it is empty or, with a fault at the field, malformed.
func numberFrom(variable string, at strict.Check) (int64, bool) {
	text := os.Getenv(variable)
	if text == "" {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		at.Fail(text, "a whole number in %s", variable)
		return 0, false
	}
	return int64(n), true
}
