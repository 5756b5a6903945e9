// Package host holds what the processes of all stand-ins share: reading settings and serving HTTP until a stop.
package host
