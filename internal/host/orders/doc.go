// Package orders carries out the orders of a cell's leader on one worker: it starts and stops runs, holds the worker's
// lease as far as the leader permits, reports ends until they are durable, and paces tasks that disturb serving ones.
package orders
