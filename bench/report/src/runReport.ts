#!/usr/bin/env node
// The command line of the report: `npm run report -- --out FILE FILE...`.
import { readFileSync, writeFileSync } from 'node:fs'
import { Command } from 'commander'
import { buildPlots } from './buildPlots.js'
import { readRecords } from './readRecords.js'
import { renderPage } from './renderPage.js'

const program = new Command('report')
  .description('Draws the records of the bench as one HTML page without scripts')
  .requiredOption('--out <file>', 'file for the page')
  .argument('<files...>', 'JSON files that the bench wrote')
  .parse()
const { out } = program.opts<{ out: string }>()

try {
  const records = program.args.flatMap(file => readRecords(file, readFileSync(file, 'utf8')))
  const plots = buildPlots(records)
  writeFileSync(out, renderPage(plots))
  process.stdout.write(`${out}: ${plots.length} plots of ${records.length} runs\n`)
} catch (error) {
  process.stderr.write(`${(error as Error).message}\n`)
  process.exitCode = 1
}
