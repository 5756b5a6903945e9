// Package roster tracks cluster membership: which entries are alive, which of them serve a zone and which one owns a
// partition. It also maintains the sessions with them.
package roster
