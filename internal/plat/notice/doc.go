// Package notice holds the announcement by which a target tells the agent beside it that it exists.
package notice
