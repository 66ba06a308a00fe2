#!/usr/bin/env node
// The command line of the micro bench: `npm run bench:micro -- --json FILE`.
import { writeFileSync } from 'node:fs'
import { cpus } from 'node:os'
import { Command, InvalidArgumentError } from 'commander'
import { measureBundles } from './measureBundles.js'
import { measureChannels } from './measureChannels.js'
import { measureClaims } from './measureClaims.js'
import { readKept, type MeasuringEffort } from './measureCost.js'
import { measureMembership } from './measureMembership.js'
import { measureMemory } from './measureMemory.js'
import { measureRouting } from './measureRouting.js'
import type { Measurement, MicroRecord } from './microRecord.js'
import { printMicro } from './printMicro.js'
import { fitMeasurements } from './statistics.js'

const { json, repetitions, repetitionMilliseconds } = new Command('bench:micro')
  .description('Measures the cost of single decisions, the memory of their states and the size of messages')
  .option('--json <file>', 'file for the record')
  .option('--repetitions <count>', 'repetitions of each measurement', parseCount, 21)
  .option('--repetition-milliseconds <milliseconds>', 'least length of one repetition', parseCount, 10)
  .parse()
  .opts<MeasuringEffort & { json?: string }>()

const effort: MeasuringEffort = { repetitions, repetitionMilliseconds }
const steps: Array<{ title: string, measure: () => Measurement[] | Promise<Measurement[]> }> = [
  // First, while the heap holds little else.
  { title: 'memory of states', measure: () => measureMemory(effort) },
  { title: 'routing and limits', measure: () => measureRouting(effort) },
  { title: 'claims', measure: () => measureClaims(effort) },
  { title: 'membership', measure: () => measureMembership(effort) },
  { title: 'channels', measure: () => measureChannels(effort) },
  { title: 'bundles', measure: () => measureBundles(effort) }
]
const measurements = await steps.reduce<Promise<Measurement[]>>(async (done, { title, measure }) => {
  const taken = await done
  process.stderr.write(`measuring ${title}\n`)
  return [...taken, ...await measure()]
}, Promise.resolve([]))

const record: MicroRecord = {
  nodeVersion: process.version,
  processor: cpus()[0]?.model ?? 'unknown',
  measurements,
  fits: fitMeasurements(measurements)
}
process.stdout.write(printMicro(record))
if (json !== undefined) writeFileSync(json, JSON.stringify(record, null, 2) + '\n')
if (readKept() === undefined) process.exitCode = 1

function parseCount (text: string): number {
  if (!/^[1-9]\d{0,5}$/.test(text)) throw new InvalidArgumentError('a whole number from 1 to 999999')
  return Number(text)
}
