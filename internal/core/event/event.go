package event

import (
	"strconv"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Number identifies a log event; numbers are never reused. The hundreds digit is the area: 1 processes, 2 sessions,
// 3 serving, 4 batch, 5 configuration, 6 operations, 7 workers and targets, 8 store, 9 jobs of steps.
type Number int

// Entry describes a log event in the catalogue.
type Entry struct {
	Number  Number
	Level   zapcore.Level
	Message string // fixed text of the log line
	Meaning string
	Action  string // what an operator should do
}

// String returns the number as E followed by its digits.
func (n Number) String() string { return "E" + strconv.Itoa(int(n)) }

// Log writes the event n with the given fields to log; it writes an error if the catalogue lacks n.
func Log(log *zap.Logger, n Number, fields ...zap.Field) {
	e, ok := catalogue[n]
	if !ok {
		log.Error("event is not in the catalogue", zap.Int("Event", int(n)))
		return
	}
	if c := log.Check(e.Level, e.Message); c != nil {
		c.Write(append(withoutStacks(fields), zap.Int("Event", int(n)))...)
	}
}

// withoutStacks replaces the errors in fields by their messages, since a stack trace adds some kilobytes to a log line.
func withoutStacks(fields []zap.Field) []zap.Field {
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			fields[i] = zap.String(f.Key, err.Error())
		}
	}
	return fields
}

// Catalogue returns all events in no particular order.
func Catalogue() []Entry {
	list := make([]Entry, 0, len(catalogue))
	for _, e := range catalogue {
		list = append(list, e)
	}
	return list
}

var catalogue = merge(processEvents, sessionEvents, servingEvents, batchEvents, configEvents, operationEvents,
	workerEvents, storeEvents, jobEvents)

func merge(areas ...[]Entry) map[Number]Entry {
	m := make(map[Number]Entry)
	for _, area := range areas {
		for _, e := range area {
			if _, ok := m[e.Number]; ok {
				panic("log event " + e.Number.String() + " is defined twice")
			}
			m[e.Number] = e
		}
	}
	return m
}
