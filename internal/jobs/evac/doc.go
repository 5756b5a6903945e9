// Package evac decides whether runs may be started in an availability zone that the operator may have evacuated. It has no
// network and no clock.
package evac
