#!/usr/bin/env node
// The command line of the soak: `npm run soak -- --seed N --minutes N --hosts N`.
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Command } from 'commander'
import { runSeed } from './runSeed.js'

interface Options {
  seed: string
  minutes: string
  secondsPerSeed: string
  hosts: string
  servers: string
  guests: string
  rate: string
  quiet: boolean
  checkTimes: boolean
}

const program = new Command('soak')
  .description('Runs the real programs through faults drawn from seeds, one seed after the other, and checks what was promised')
  .option('--seed <number>', 'first seed', '1')
  .option('--minutes <number>', 'how long; at least one seed is run', '1')
  .option('--seconds-per-seed <number>', 'how long guests send in one seed', '20')
  .option('--hosts <number>', 'entry hosts', '6')
  .option('--servers <number>', 'servers', '8')
  .option('--guests <number>', 'guests', '20')
  .option('--rate <number>', 'requests of one guest in a second', '4')
  .option('--quiet', 'print no line for each fault', false)
  .option('--no-check-times', 'do not check whether answers are in time, for a machine under other load')
const options = program.parse().opts<Options>()
const endAt = Date.now() + Number(options.minutes) * 60_000
const report = (line: string): void => { process.stdout.write(`${line}\n`) }

/** Runs a seed and those after it while time is left; gives how many broke a promise. */
async function runFrom (seed: number): Promise<number> {
  const directory = mkdtempSync(join(tmpdir(), `soak-${seed}-`))
  report(`seed ${seed}`)
  const result = await runSeed({
    seed,
    milliseconds: Number(options.secondsPerSeed) * 1_000,
    hosts: Number(options.hosts),
    servers: Number(options.servers),
    guests: Number(options.guests),
    rate: Number(options.rate),
    directory,
    checksTimes: options.checkTimes,
    report: options.quiet ? () => {} : report
  })
  result.violations.forEach(({ promise, request, detail }) => report(`broken promise=${promise} request=${request} ${detail}`))
  report(`seed ${seed} requests=${result.requests} answered=${result.answered} faults=${result.faults} broken=${result.violations.length}${result.violations.length > 0 ? ` logs=${directory}` : ''}`)
  const failed = result.violations.length > 0 ? 1 : 0
  if (failed === 0) rmSync(directory, { recursive: true })
  return failed + (Date.now() < endAt ? await runFrom(seed + 1) : 0)
}

const failed = await runFrom(Number(options.seed))
report(failed === 0 ? 'no promise was broken' : `${failed} seeds broke a promise`)
process.exitCode = failed === 0 ? 0 : 1
