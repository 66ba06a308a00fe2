#!/usr/bin/env node
// Command line of the report: `npm run report -- --out FILE FILE...`.
import { readFileSync, writeFileSync } from 'node:fs'
import { Command } from 'commander'
import { buildPlots } from './buildPlots.js'
import { parseRecords } from './parseRecords.js'
import { renderPage } from './renderPage.js'

const program = new Command('report')
  .description('Renders benchmark records as a single HTML page without scripts')
  .requiredOption('--out <file>', 'HTML file to write')
  .argument('<files...>', 'JSON files written by the benchmark')
  .parse()
const { out } = program.opts<{ out: string }>()

try {
  const records = program.args.flatMap(file => parseRecords(file, readFileSync(file, 'utf8')))
  const plots = buildPlots(records)
  writeFileSync(out, renderPage(plots))
  process.stdout.write(`${out}: ${plots.length} plots of ${records.length} runs\n`)
} catch (error) {
  process.stderr.write(`${(error as Error).message}\n`)
  process.exitCode = 1
}
