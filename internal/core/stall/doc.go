// Package stall bounds the time without progress of an exchange whose size has no bound, such as a response that lists
// all queues. The total time of such an exchange depends on its size and on the link, so a limit of the total time
// would end a large exchange again and again at the same point.
package stall
