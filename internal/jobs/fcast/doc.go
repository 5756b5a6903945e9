// Package fcast decides whether an arriving job is accepted, from a forecast of the work in progress that the leader of
// the cell publishes. It uses no network and no clock: times are arguments.
package fcast
