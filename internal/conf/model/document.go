package model

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// MaxDocument is the largest size of a document in bytes; 620 teams, 20 zones and 300 services need 242 KB.
const MaxDocument = 2 << 20

// Document is the configuration that operators declare.
type Document struct {
	Services          []Service  `json:",omitempty"`
	JobClasses        []JobClass `json:",omitempty"`
	Teams             []Team     `json:",omitempty"`
	AvailabilityZones []AvailabilityZone
	Policies          Policies
}

// Parse decodes and validates a document; the error is a *strict.FaultsError with all faults.
func Parse(b []byte) (Document, error) {
	d, faults := Read(b)
	return d, faults.Err()
}

// Read decodes and validates a document and returns its faults together with the fields that could be decoded.
func Read(b []byte) (Document, strict.Faults) {
	var d Document
	if len(b) > MaxDocument {
		c := strict.NewCheck()
		c.Fail(len(b), "at most %d bytes", MaxDocument)
		return d, c.Faults()
	}
	faults := strict.Decode(b, &d)
	for _, f := range faults {
		if f.Path == "$" { // nothing was decoded, so validation would only report misleading faults
			return d, faults
		}
	}
	return d, faults.Merge(d.Validate())
}

// Validate returns all faults of the document.
func (d Document) Validate() strict.Faults {
	c := strict.NewCheck()
	d.checkServices(c.Field("Services"))
	d.checkClasses(c.Field("JobClasses"))
	d.checkTeams(c.Field("Teams"))
	d.checkZones(c.Field("AvailabilityZones"))
	d.Policies.check(c.Field("Policies"))
	return c.Faults()
}

func (d Document) checkServices(c strict.Check) {
	seen := make(map[string]bool, len(d.Services))
	for i, s := range d.Services {
		s.check(c.Index(i))
		checkUnique(c.Index(i).Field("Name"), s.Name, seen)
	}
}

func (d Document) checkClasses(c strict.Check) {
	seen := make(map[string]bool, len(d.JobClasses))
	for i, j := range d.JobClasses {
		j.check(c.Index(i), d.AvailabilityZones)
		checkUnique(c.Index(i).Field("Name"), j.Name, seen)
	}
}

func (d Document) checkTeams(c strict.Check) {
	classes := nameSet(d.JobClasses, func(j JobClass) string { return j.Name })
	seen := make(map[string]bool, len(d.Teams))
	if len(d.Teams) > maxTeams {
		c.Fail(len(d.Teams), "at most %d teams", maxTeams)
	}
	for i, t := range d.Teams {
		t.check(c.Index(i), classes)
		checkUnique(c.Index(i).Field("Name"), t.Name, seen)
	}
	if hasWorkers(d.AvailabilityZones) {
		checkQuotas(c, d.Teams, d.Capacity())
	}
}

func (d Document) checkZones(c strict.Check) {
	zones := nameSet(d.AvailabilityZones, func(z AvailabilityZone) string { return z.Name })
	seen := make(map[string]bool, len(d.AvailabilityZones))
	if n := len(d.AvailabilityZones); n == 0 || n > MaxZones {
		c.Fail(n, "1 to %d zones", MaxZones)
	}
	for i, z := range d.AvailabilityZones {
		z.check(c.Index(i), zones)
		checkUnique(c.Index(i).Field("Name"), z.Name, seen)
	}
}

// Capacity returns the total declared capacity of all zones.
func (d Document) Capacity() TaskSize {
	var total TaskSize
	for _, z := range d.AvailabilityZones {
		total = total.plus(z.Total())
	}
	return total
}

// Service returns the service with the given name.
func (d Document) Service(name string) (Service, bool) {
	return find(d.Services, func(s Service) bool { return s.Name == name })
}

// JobClass returns the job class with the given name.
func (d Document) JobClass(name string) (JobClass, bool) {
	return find(d.JobClasses, func(j JobClass) bool { return j.Name == name })
}

// Team returns the team with the given name.
func (d Document) Team(name string) (Team, bool) {
	return find(d.Teams, func(t Team) bool { return t.Name == name })
}

// Zone returns the availability zone with the given name.
func (d Document) Zone(name string) (AvailabilityZone, bool) {
	return find(d.AvailabilityZones, func(z AvailabilityZone) bool { return z.Name == name })
}

// find returns the first element of list that match accepts.
func find[T any](list []T, match func(T) bool) (T, bool) {
	for _, v := range list {
		if match(v) {
			return v, true
		}
	}
	var zero T
	return zero, false
}

// Encode returns the document as indented JSON with a final newline.
func (d Document) Encode() ([]byte, error) {
	b, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return append(b, '\n'), nil
}

// Hash returns the SHA-256 of an encoded document in hexadecimal.
func Hash(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
