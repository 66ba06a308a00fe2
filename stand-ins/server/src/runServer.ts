#!/usr/bin/env node
// Runs the server stand-in as a process. SIGTERM starts a graceful shutdown: the server drains, completes the
// running requests and exits.
import { formatCodedError } from '@siskinbeam/result-codes/codedError'
import { readSettings } from '@siskinbeam/settings/readSettings'
import { serverSettings } from './serverSettings.js'
import { startServer } from './startServer.js'

const drainMilliseconds = 3_000

const settings = readSettings({
  program: 'stand-in-server',
  description: 'Stand-in for a server in tests and benchmarks',
  definitions: serverSettings,
  arguments: process.argv.slice(2),
  environment: process.env
})
if (!settings.ok) {
  process.stderr.write(formatCodedError(settings.error) + '\n')
  process.exit(2)
}
if (settings.value.printRequested) {
  process.stdout.write(settings.value.print() + '\n')
  process.exit(0)
}
const server = await startServer(settings.value.values)
process.stdout.write(`ready address=${server.address} control=${server.controlAddress}\n`)
process.on('SIGTERM', () => {
  server.setFaults({ drain: true })
  setTimeout(() => { server.stop().then(() => process.exit(0), () => process.exit(1)) }, drainMilliseconds)
})
