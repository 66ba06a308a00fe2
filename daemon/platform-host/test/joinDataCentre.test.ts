// Guards against a startup that is delayed by a seed that lost power and does not respond, although another seed responds.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLogger } from '@siskinbeam/logging/createLogger'
import { superviseProcess } from '@siskinbeam/processes/superviseProcess'
import { addHosts, createSourceSelection } from '@siskinbeam/watch-duty/sourceSelection'
import type { PeerClient } from '../src/dataCentre/peerClient.js'
import { joinDataCentre } from '../src/dataCentre/joinDataCentre.js'
import type { PlatformHost } from '../src/platformHost.js'
import { waitUntil } from './support/startPlatform.js'

const describeHost = (name: string): { name: string, peerAddress: string, guestAddress: string, processorShare: number } =>
  ({ name, peerAddress: `${name}:1`, guestAddress: `${name}:2`, processorShare: 0.2 })

test('a host joins through a seed that responds while another does not', async () => {
  const sourceSelection = createSourceSelection(describeHost('own'))
  const logger = createLogger({ component: 'entry-host', fields: {}, write: () => {} })
  const settings = { host: 'own', dataCentre: 'north', peerAddress: 'own:1', seedPeers: ['unresponsive:1', 'responsive:1'] }
  const peerClient: Pick<PeerClient, 'introduce'> = {
    introduce: address => {
      if (address === 'unresponsive:1') return new Promise(() => {})
      addHosts(sourceSelection, [describeHost('other')])
      return Promise.resolve(true)
    }
  }
  const joiner = joinDataCentre({
    host: { settings, logger, now: () => performance.now() } as unknown as PlatformHost,
    sourceSelection,
    peerClient: peerClient as PeerClient,
    store: {} as never,
    isOwnSource: () => false
  })
  const joining = superviseProcess({ name: 'join', logger, body: joiner.run })
  await waitUntil('the host has joined', joiner.hasJoined)
  joining.stop()
  assert.ok(joiner.hasJoined())
})
