// Entry point of siskinbeamctl: runs the command line with the file system, the clock and the network clients.
import { readFile, writeFile } from 'node:fs/promises'
import { setTimeout as wait } from 'node:timers/promises'
import { createHostListClient } from '@siskinbeam/clients/createHostListClient'
import { createObjectClient } from '@siskinbeam/clients/createObjectClient'
import { createTableClient } from '@siskinbeam/clients/createTableClient'
import { createPeerClient } from '@siskinbeam/exchange/createPeerClient'
import { runCommandLine } from './runCommandLine.js'

process.exitCode = await runCommandLine(process.argv.slice(2), {
  environment: process.env,
  writeOutput: line => process.stdout.write(`${line}\n`),
  writeError: line => process.stderr.write(`${line}\n`),
  readFile: path => readFile(path),
  writeFile: (path, bytes) => writeFile(path, bytes),
  connectTable: createTableClient,
  connectObjects: createObjectClient,
  connectHostList: createHostListClient,
  connectPeer: createPeerClient,
  wait: milliseconds => wait(milliseconds),
  readClock: () => new Date().toISOString()
})
