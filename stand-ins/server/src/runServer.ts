#!/usr/bin/env node
// Process of the stand-in of a server. SIGTERM is a graceful shutdown: it drains, finishes what runs
// and exits.
import { formatCodedError } from '@siskinbeam/result-codes/codedError'
import { readSettings } from '@siskinbeam/settings/readSettings'
import { serverSettings } from './serverSettings.js'
import { serveServer } from './serveServer.js'

const drainMilliseconds = 3_000

const settings = readSettings({
  program: 'stand-in-server',
  description: 'Stand-in of a server for tests and benches',
  definitions: serverSettings,
  arguments: process.argv.slice(2),
  environment: process.env
})
if (!settings.ok) {
  process.stderr.write(formatCodedError(settings.error) + '\n')
  process.exit(2)
}
const server = await serveServer(settings.value.values)
process.stdout.write(`ready address=${server.address} control=${server.controlAddress}\n`)
process.on('SIGTERM', () => {
  server.setFaults({ drain: true })
  setTimeout(() => { server.stop().then(() => process.exit(0), () => process.exit(1)) }, drainMilliseconds)
})
