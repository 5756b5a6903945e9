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
)

// applyEnvironment sets the fields that have a variable and are absent from the settings file.
func (e *CellEntry) applyEnvironment(c strict.Check) {
	text := os.Getenv(EvacuationBoundVariable)
	if text == "" || e.EvacuationBound != nil {
		return
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		c.Field("EvacuationBound").Fail(text, "whole milliseconds in %s", EvacuationBoundVariable)
		return
	}
	d := model.Duration(time.Duration(n) * time.Millisecond)
	e.EvacuationBound = &d
}
