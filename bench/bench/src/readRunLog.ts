// Reads the run log, to which all servers of a benchmark run append their executions.
import { readFileSync } from 'node:fs'
import type { RunRecord as ServerRun } from '@siskinbeam/stand-in-server/startServer'

/** Reads a run log with one JSON record per line; throws if the file is missing. */
export function readRunLog (file: string): ServerRun[] {
  return readFileSync(file, 'utf8').split('\n').filter(line => line !== '').map(line => JSON.parse(line) as ServerRun)
}
