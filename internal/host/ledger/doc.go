// Package ledger accounts for the resources of one worker that tasks and requests have reserved. Only the agent on the
// worker's machine writes to it.
package ledger
