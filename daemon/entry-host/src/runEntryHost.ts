#!/usr/bin/env node
// The binary `siskinbeam`: reads the settings, starts the entry host, and shuts down gracefully on
// SIGTERM and SIGINT. SIGUSR2 writes the state dump to standard error.
import { formatCodedError } from '@siskinbeam/result-codes/codedError'
import { readSettings } from '@siskinbeam/settings/readSettings'
import { entryHostSettings } from './entryHostSettings.js'
import { startEntryHost } from './startEntryHost.js'

const settingFailureExitCode = 2
const startFailureExitCode = 1

const settings = readSettings({
  program: 'siskinbeam',
  description: 'Entry host of a siskinbeam load balancer',
  definitions: entryHostSettings,
  arguments: process.argv.slice(2),
  environment: process.env,
  version: '0.1.0'
})
if (!settings.ok) {
  process.stderr.write(formatCodedError(settings.error) + '\n')
  process.exit(settingFailureExitCode)
}
if (settings.value.printRequested) {
  process.stdout.write(settings.value.print() + '\n')
  process.exit(0)
}
try {
  const running = await startEntryHost(settings.value.values)
  if (!running.ok) {
    process.stderr.write(formatCodedError(running.error) + '\n')
    process.exit(settingFailureExitCode)
  }
  const { leave, dump, guestAddress, peerAddress } = running.value
  process.stdout.write(`ready guests=${guestAddress} peers=${peerAddress}\n`)
  ;(['SIGTERM', 'SIGINT'] as const).forEach(signal => process.on(signal, () => { leave().then(() => process.exit(0), () => process.exit(startFailureExitCode)) }))
  process.on('SIGUSR2', () => process.stderr.write(dump() + '\n'))
} catch (error) {
  process.stderr.write(`the host can't start: ${(error as Error).message}\n`)
  process.exit(startFailureExitCode)
}
