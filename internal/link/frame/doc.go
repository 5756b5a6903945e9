// Package frame reads and writes the frames of a session: length, kind, stream number, payload and checksum.
package frame
