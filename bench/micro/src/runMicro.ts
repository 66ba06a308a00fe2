#!/usr/bin/env node
// Command line of the microbenchmarks: `npm run bench:micro -- --json FILE`.
import { writeFileSync } from 'node:fs'
import { cpus } from 'node:os'
import { Command, InvalidArgumentError } from 'commander'
import { measureBundles } from './measureBundles.js'
import { measureChannels } from './measureChannels.js'
import { measureClaims } from './measureClaims.js'
import { getLastResult, type SamplingOptions } from './measureCost.js'
import { measureHeads } from './measureHeads.js'
import { measureLimits } from './measureLimits.js'
import { measureMembership } from './measureMembership.js'
import { measureMemory } from './measureMemory.js'
import { measureNotices } from './measureNotices.js'
import { measureRouting } from './measureRouting.js'
import type { Measurement, BenchmarkRecord } from './benchmarkRecord.js'
import { formatRecord } from './formatRecord.js'
import { fitMeasurements } from './statistics.js'

const { json, repetitions, repetitionMilliseconds } = new Command('bench:micro')
  .description('Measures the cost of single decisions, the memory of their states and the size of messages')
  .option('--json <file>', 'file to which the record is written')
  .option('--repetitions <count>', 'number of repetitions of each measurement', parseCount, 21)
  .option('--repetition-milliseconds <milliseconds>', 'minimum duration of one repetition', parseCount, 10)
  .parse()
  .opts<SamplingOptions & { json?: string }>()

const sampling: SamplingOptions = { repetitions, repetitionMilliseconds }
const steps: Array<{ title: string, measure: () => Measurement[] | Promise<Measurement[]> }> = [
  // Memory is measured first, while the heap is nearly empty.
  { title: 'memory of states', measure: () => measureMemory(sampling) },
  { title: 'routing and limits', measure: () => measureRouting(sampling) },
  { title: 'heads of messages', measure: () => measureHeads(sampling) },
  { title: 'limits that servers name', measure: () => measureLimits(sampling) },
  { title: 'notices of servers', measure: () => measureNotices(sampling) },
  { title: 'claims', measure: () => measureClaims(sampling) },
  { title: 'membership', measure: () => measureMembership(sampling) },
  { title: 'channels', measure: () => measureChannels(sampling) },
  { title: 'bundles', measure: () => measureBundles(sampling) }
]
const measurements = await steps.reduce<Promise<Measurement[]>>(async (previous, { title, measure }) => {
  const collected = await previous
  process.stderr.write(`measuring ${title}\n`)
  return [...collected, ...await measure()]
}, Promise.resolve([]))

const record: BenchmarkRecord = {
  nodeVersion: process.version,
  processor: cpus()[0]?.model ?? 'unknown',
  measurements,
  fits: fitMeasurements(measurements)
}
process.stdout.write(formatRecord(record))
if (json !== undefined) writeFileSync(json, JSON.stringify(record, null, 2) + '\n')
if (getLastResult() === undefined) process.exitCode = 1

function parseCount (text: string): number {
  if (!/^[1-9]\d{0,5}$/.test(text)) throw new InvalidArgumentError('must be an integer from 1 to 999999')
  return Number(text)
}
