// Package roster holds the membership of entries: which entries live, which of them serve a zone, which of them owns a
// partition, and the sessions that lead to them.
package roster
